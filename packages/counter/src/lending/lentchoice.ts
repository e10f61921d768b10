import type { Rule } from '@pumicebarrow/forms';
import type { Listed } from '../listed.js';
import type { LoadBook } from '../loadbook.js';
import type { Choosing } from '../choosing.js';
import type { Borrower } from './borrower.js';

type Stage = 'prefill' | 'decode';
type Dependencies = { live: Choosing; loads: LoadBook; borrower: ReturnType<typeof Borrower.make> };

/**
 * Picks servers for requests on borrowed capacity. Invariants: only a server that is usable for live requests and is
 * borrowed under a valid lease is picked; no more load is put on it than was lent.
 */
export const LentChoice = {
  make(deps: Dependencies): Choosing {
    const slots = (server: Listed): number => deps.borrower.slots(server.id, server.born);
    const usable = (stage: Stage): Listed[] => deps.live.usable(stage).filter((s) => slots(s) > 0);
    const free = (server: Listed): number => slots(server) - deps.loads.at(server.id);
    const fits = (server: Listed, weight: number): boolean => weight <= free(server);
    const utilization = (server: Listed): number => deps.loads.at(server.id) / slots(server);
    const leastUtilized = (stage: Stage, route: Rule, excluded: ReadonlySet<string>): Listed | null => {
      const servers = usable(stage).filter((s) => !excluded.has(s.id) && fits(s, route.weight));
      return servers.reduce<Listed | null>((a, b) => (a === null || utilization(b) < utilization(a) ? b : a), null);
    };
    return {
      usable,
      roomy: (stage, route, reservedKey) => {
        const list = usable(stage);
        const freeSlots = list.reduce((n, s) => n + Math.max(0, free(s)), 0);
        return list.some((s) => fits(s, route.weight)) && deps.loads.at(reservedKey) + route.weight <= freeSlots;
      },
      prefill: (route, _prefix, excluded) => leastUtilized('prefill', route, excluded),
      decode: (route, _prefillServer, excluded) => leastUtilized('decode', route, excluded),
    };
  },
};
