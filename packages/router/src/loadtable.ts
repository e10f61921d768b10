import { Order, Timer, type Clock, type PostBox } from '@pumicebarrow/forms';
import type { Holding } from '@pumicebarrow/purge';
import { ServerIndex } from './serverindex.js';
import { Words } from './words.js';

type Load = { runs: number; reads: number; tokens: number };
type WireRow = [string, number, number, number];
type Router = { rows: Map<string, Load>; heardAt: number };
/** ms after which a router that says nothing counts as gone; one with work under way says so more often. */
const SILENT = 2000;
const TIDY = 500;
const NONE: Load = { runs: 0, reads: 0, tokens: 0 };

/**
 * Adds up what every router has under way at each server, and tells it to whoever is about to choose one.
 * Invariants: each router's rows are absolute, so a lost or repeated word is put right by the next; the sums are those
 * of the rows held; all of it is soft, and is learnt anew within a second by the member that takes over.
 */
export const LoadTable = {
  make(clock: Clock, post: PostBox, shelf: Holding) {
    const index = ServerIndex.make(shelf);
    const routers = new Map<string, Router>();
    const sums = new Map<string, Load>();
    const change = (server: string, was: Load, now: Load): void => {
      const sum = sums.get(server) ?? NONE;
      const next = {
        runs: sum.runs + now.runs - was.runs,
        reads: sum.reads + now.reads - was.reads,
        tokens: sum.tokens + now.tokens - was.tokens,
      };
      if (next.runs === 0 && next.reads === 0 && next.tokens === 0) sums.delete(server);
      else sums.set(server, next);
    };
    const set = (router: Router, server: string, now: Load): void => {
      change(server, router.rows.get(server) ?? NONE, now);
      if (now.runs === 0 && now.reads === 0) router.rows.delete(server);
      else router.rows.set(server, now);
    };
    const forget = (id: string, router: Router): void => {
      for (const server of [...router.rows.keys()]) set(router, server, NONE);
      routers.delete(id);
    };
    const tidy = (): void => {
      const oldest = clock.mono() - SILENT;
      for (const [id, router] of routers) if (router.heardAt < oldest) forget(id, router);
    };
    post.heed('loads.own', Words.ownLoads, ({ whole, rows }, from) => {
      const router = routers.get(from.id) ?? { rows: new Map<string, Load>(), heardAt: 0 };
      router.heardAt = clock.mono();
      routers.set(from.id, router);
      const named = new Set(rows.map(([server]) => server));
      if (whole) for (const server of [...router.rows.keys()]) if (!named.has(server)) set(router, server, NONE);
      for (const [server, runs, reads, tokens] of rows) set(router, server, { runs, reads, tokens });
    });
    post.on('loads.ask', Words.askLoads, ({ list }) => {
      const held = index.now();
      const known = held && list && Order.cmp(held.mark, list) === 0 ? held.places : null;
      const places: number[] = [];
      const rows: WireRow[] = [];
      for (const [server, s] of sums) {
        const place = known?.get(server);
        if (place === undefined) rows.push([server, s.runs, s.reads, s.tokens]);
        else places.push(place, s.runs, s.reads, s.tokens);
      }
      return { places, rows };
    });
    let stop: () => void = () => undefined;
    return {
      start(): void {
        stop = Timer.every(clock, TIDY, tidy);
      },
      stop: (): void => stop(),
      tidy,
      of: (server: string): Load => sums.get(server) ?? NONE,
    };
  },
};
