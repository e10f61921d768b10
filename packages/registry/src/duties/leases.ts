import { Verdicts, type Clock } from '@pumicebarrow/forms';
import type { Chain } from '../chain/chain.js';
import { CoreTimings } from '../coretimings.js';
import type { CommandResult } from '../chain/ruling.js';

/**
 * Leases, as the head gives them. The holder and its fence are in the chain; how long it may go on is only here.
 * Invariant: no name goes to a new holder while the old one may still think it holds it; a new head, which can't
 * know, waits one whole term first.
 */
export const NamedLeases = {
  make(clock: Clock, chain: Chain, holdsLease: () => boolean) {
    const expiresAt = new Map<string, number>();
    const pendingTransfers = new Set<string>();
    let newHeadWaitUntil = 0;
    return {
      onViewChange(): void {
        expiresAt.clear();
        newHeadWaitUntil = clock.mono() + CoreTimings.lease;
      },
      release(name: string, id: string, incarnation: string): void {
        const holder = chain.passed()?.claims[name];
        if (holder && holder.id === id && holder.born === incarnation) expiresAt.set(name, 0);
      },
      async acquire(name: string, id: string, incarnation: string): Promise<CommandResult> {
        const holder = chain.passed()?.claims[name],
          now = clock.mono();
        if (!holdsLease() || !chain.isReady()) return { verdict: Verdicts.not('unready', 'The core is not ready.', 1) };
        if (holder && holder.id === id && holder.born === incarnation) {
          if (pendingTransfers.has(name)) return { verdict: Verdicts.not('busy', 'The lease is changing hands.', 1) };
          expiresAt.set(name, now + CoreTimings.lease);
          return { verdict: Verdicts.ran('claimed', `${id} holds ${name}.`), fence: holder.fence };
        }
        const waitMs = holder ? (expiresAt.get(name) ?? newHeadWaitUntil) - now : 0;
        if (waitMs > 0 || pendingTransfers.has(name))
          return { verdict: Verdicts.not('held', `${name} is held.`, Math.max(waitMs, 100) / 1000) };
        pendingTransfers.add(name);
        const result = await chain.write({ do: 'claim', name, id, born: incarnation });
        pendingTransfers.delete(name);
        expiresAt.set(name, clock.mono() + CoreTimings.lease);
        return result;
      },
    };
  },
};
