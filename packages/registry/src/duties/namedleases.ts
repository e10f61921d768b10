import { Verdicts, type Clock } from '@pumicebarrow/forms';
import type { Chain } from '../chain/chain.js';
import { CoreTimings } from '../coretimings.js';
import type { CommandResult } from '../chain/commandresult.js';

/**
 * Named leases, granted by the head. The holder and its fencing token are replicated in the chain; the expiry time is
 * known only to the head. Invariant: a name is not granted to a new holder while the old one may still believe that it
 * holds the lease. A new head does not know the expiry times, so it first waits one whole term.
 */
export const NamedLeases = {
  make(clock: Clock, chain: Chain, holdsLease: () => boolean) {
    const expiresAt = new Map<string, number>();
    const pendingTransfers = new Set<string>();
    let newHeadWaitUntil = 0;
    return {
      onViewChange(): void {
        expiresAt.clear();
        newHeadWaitUntil = clock.mono() + CoreTimings.namedLeaseMs;
      },
      /** Ends the lease at once if this daemon incarnation holds it. */
      release(name: string, id: string, incarnation: string): void {
        const holder = chain.committed()?.claims[name];
        if (holder && holder.id === id && holder.born === incarnation) expiresAt.set(name, 0);
      },
      /** Grants or renews a lease, or refuses with the time until it may be free. */
      async acquire(name: string, id: string, incarnation: string): Promise<CommandResult> {
        const holder = chain.committed()?.claims[name],
          now = clock.mono();
        if (!holdsLease() || !chain.isReady())
          return { verdict: Verdicts.notRun('unready', 'The core is not ready.', 1) };
        if (holder && holder.id === id && holder.born === incarnation) {
          if (pendingTransfers.has(name))
            return { verdict: Verdicts.notRun('busy', 'The lease is changing hands.', 1) };
          expiresAt.set(name, now + CoreTimings.namedLeaseMs);
          return { verdict: Verdicts.ran('claimed', `${id} holds ${name}.`), fence: holder.fence };
        }
        const waitMs = holder ? (expiresAt.get(name) ?? newHeadWaitUntil) - now : 0;
        if (waitMs > 0 || pendingTransfers.has(name))
          return {
            verdict: Verdicts.notRun('held', `${name} is held.`, Math.max(waitMs, 100) / 1000),
          };
        pendingTransfers.add(name);
        const result = await chain.write({ do: 'claim', name, id, born: incarnation });
        pendingTransfers.delete(name);
        expiresAt.set(name, clock.mono() + CoreTimings.namedLeaseMs);
        return result;
      },
    };
  },
};
