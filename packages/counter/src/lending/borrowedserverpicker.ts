import type { NamedRoute } from '@pumicebarrow/forms';
import type { ListedServer } from '../listedserver.js';
import type { InFlightLoads } from '../inflightloads.js';
import type { ServerPicker } from '../serverpicker.js';
import type { Borrower } from './borrower.js';

type Stage = 'prefill' | 'decode';
type Dependencies = { live: ServerPicker; loads: InFlightLoads; borrower: ReturnType<typeof Borrower.make> };

/**
 * Picks servers for requests on borrowed capacity. Invariants: only a server that is usable for live requests and is
 * borrowed under a valid lease is picked; no more load is put on it than was lent.
 */
export const BorrowedServerPicker = {
  make(deps: Dependencies): ServerPicker {
    const slots = (server: ListedServer): number => deps.borrower.slots(server.id, server.born);
    const usable = (stage: Stage): ListedServer[] => deps.live.usable(stage).filter((s) => slots(s) > 0);
    const free = (server: ListedServer): number => slots(server) - deps.loads.weightAt(server.id);
    const fits = (server: ListedServer, weight: number): boolean => weight <= free(server);
    const utilization = (server: ListedServer): number => deps.loads.weightAt(server.id) / slots(server);
    const leastUtilized = (stage: Stage, route: NamedRoute, excluded: ReadonlySet<string>): ListedServer | null => {
      const servers = usable(stage).filter((s) => !excluded.has(s.id) && fits(s, route.weight));
      return servers.reduce<ListedServer | null>(
        (a, b) => (a === null || utilization(b) < utilization(a) ? b : a),
        null,
      );
    };
    return {
      usable,
      hasRoom: (stage, route, reservedKey) => {
        const list = usable(stage);
        const freeSlots = list.reduce((n, s) => n + Math.max(0, free(s)), 0);
        return list.some((s) => fits(s, route.weight)) && deps.loads.weightAt(reservedKey) + route.weight <= freeSlots;
      },
      prefill: (route, _prefix, excluded) => leastUtilized('prefill', route, excluded),
      decode: (route, _prefillServer, excluded) => leastUtilized('decode', route, excluded),
    };
  },
};
