import { VersionOrder, Timer, type Clock, type Messenger } from '@pumicebarrow/forms';
import type { RecordStore } from '@pumicebarrow/purge';
import { ServerListIndex } from './serverlistindex.js';
import { RouterMessages } from './routermessages.js';

type Load = { runs: number; reads: number; tokens: number };
type WireRow = [string, number, number, number];
type RouterLoads = { rows: Map<string, Load>; receivedAt: number };
/** A router that has sent nothing for this long is considered gone; a router with work under way sends more often. */
const ROUTER_TIMEOUT_MS = 2000;
const EXPIRY_INTERVAL_MS = 500;
const NO_LOAD: Load = { runs: 0, reads: 0, tokens: 0 };

/**
 * Adds up what every router has under way at each server, and gives the sums to routers about to choose a server. Runs
 * at the control replicas. Invariants: each router reports absolute values, so a lost or repeated message is corrected
 * by the next one; the sums always equal those of the rows held; all of it is soft state, which a replica that takes
 * over relearns within a second.
 */
export const LoadAggregator = {
  make(clock: Clock, post: Messenger, store: RecordStore) {
    const listIndex = ServerListIndex.make(store);
    const routers = new Map<string, RouterLoads>();
    const sums = new Map<string, Load>();
    const applyChange = (server: string, previous: Load, current: Load): void => {
      const sum = sums.get(server) ?? NO_LOAD;
      const updated = {
        runs: sum.runs + current.runs - previous.runs,
        reads: sum.reads + current.reads - previous.reads,
        tokens: sum.tokens + current.tokens - previous.tokens,
      };
      if (updated.runs === 0 && updated.reads === 0 && updated.tokens === 0) sums.delete(server);
      else sums.set(server, updated);
    };
    const setLoad = (router: RouterLoads, server: string, load: Load): void => {
      applyChange(server, router.rows.get(server) ?? NO_LOAD, load);
      if (load.runs === 0 && load.reads === 0) router.rows.delete(server);
      else router.rows.set(server, load);
    };
    const forget = (id: string, router: RouterLoads): void => {
      for (const server of [...router.rows.keys()]) setLoad(router, server, NO_LOAD);
      routers.delete(id);
    };
    const expireSilentRouters = (): void => {
      const oldest = clock.mono() - ROUTER_TIMEOUT_MS;
      for (const [id, router] of routers) if (router.receivedAt < oldest) forget(id, router);
    };
    post.onTell('loads.own', RouterMessages.ownLoadUpdate, ({ whole, rows }, from) => {
      const router = routers.get(from.id) ?? { rows: new Map<string, Load>(), receivedAt: 0 };
      router.receivedAt = clock.mono();
      routers.set(from.id, router);
      const named = new Set(rows.map(([server]) => server));
      if (whole) for (const server of [...router.rows.keys()]) if (!named.has(server)) setLoad(router, server, NO_LOAD);
      for (const [server, runs, reads, tokens] of rows) setLoad(router, server, { runs, reads, tokens });
    });
    post.on('loads.ask', RouterMessages.fleetLoadRequest, ({ list }) => {
      const held = listIndex.current();
      const knownPlaces = held && list && VersionOrder.compare(held.mark, list) === 0 ? held.places : null;
      const places: number[] = [];
      const rows: WireRow[] = [];
      for (const [server, sum] of sums) {
        const place = knownPlaces?.get(server);
        if (place === undefined) rows.push([server, sum.runs, sum.reads, sum.tokens]);
        else places.push(place, sum.runs, sum.reads, sum.tokens);
      }
      return { places, rows };
    });
    let stop: () => void = () => undefined;
    return {
      start(): void {
        stop = Timer.every(clock, EXPIRY_INTERVAL_MS, expireSilentRouters);
      },
      stop: (): void => stop(),
      expire: expireSilentRouters,
      loadOf: (server: string): Load => sums.get(server) ?? NO_LOAD,
    };
  },
};
