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
  make(clock: Clock, chain: Chain, live: () => boolean) {
    const until = new Map<string, number>();
    const asked = new Set<string>();
    let calm = 0;
    return {
      onViewChange(): void {
        until.clear();
        calm = clock.mono() + CoreTimings.lease;
      },
      release(name: string, id: string, born: string): void {
        const held = chain.passed()?.claims[name];
        if (held && held.id === id && held.born === born) until.set(name, 0);
      },
      async acquire(name: string, id: string, born: string): Promise<CommandResult> {
        const held = chain.passed()?.claims[name],
          now = clock.mono();
        if (!live() || !chain.isReady()) return { verdict: Verdicts.not('unready', 'The core is not ready.', 1) };
        if (held && held.id === id && held.born === born) {
          if (asked.has(name)) return { verdict: Verdicts.not('busy', 'The lease is changing hands.', 1) };
          until.set(name, now + CoreTimings.lease);
          return { verdict: Verdicts.ran('claimed', `${id} holds ${name}.`), fence: held.fence };
        }
        const wait = held ? (until.get(name) ?? calm) - now : 0;
        if (wait > 0 || asked.has(name))
          return { verdict: Verdicts.not('held', `${name} is held.`, Math.max(wait, 100) / 1000) };
        asked.add(name);
        const ruling = await chain.write({ do: 'claim', name, id, born });
        asked.delete(name);
        until.set(name, clock.mono() + CoreTimings.lease);
        return ruling;
      },
    };
  },
};
