import { Lot, Timer, type Clock, type PostBox } from '@pumicebarrow/forms';
import type { Holding } from '@pumicebarrow/purge';
import type { View } from '@pumicebarrow/registry';
import type { OutcomeCounters } from './outcomecounters.js';
import { ServerIndex } from './serverindex.js';
import type { ServerLoads } from './serverloads.js';
import { Words } from './words.js';

type Tools = {
  clock: Clock;
  post: PostBox;
  loads: ReturnType<typeof ServerLoads.make>;
  view: () => View | null;
  shelf: Holding;
  /** Whether the fleet is so large that a router hears of a part of the others only. */
  large: () => boolean;
  counters: Pick<ReturnType<typeof OutcomeCounters.make>, 'count'>;
};
type Load = { runs: number; reads: number; tokens: number };
type WireRow = [string, number, number, number];
/** ms that the reply may take, and for which nothing is asked after one that did not come. */
const REPLY_TIMEOUT = 40;
const BACKOFF = 1000;
/** ms after which all rows are told again although none changed. */
const REFRESH = 700;
/** Tokens of a unit on the wire. */
const UNIT = 100;
/** Numbers that tell of one server by its place. */
const FIELDS = 4;
const KEY = 'loads';

/**
 * A router's line to the member of the core that adds up the loads of all servers: the same one for all routers, by
 * rendezvous over the view. Invariants: what changed here is told before anything is asked; a member that does not
 * reply in time costs one short wait, and is left alone for a while; nothing depends on the reply but the choice.
 */
export const LoadBroker = {
  make(t: Tools) {
    const index = ServerIndex.make(t.shelf);
    const changed = new Set<string>();
    let member = '';
    let toldAt = -Infinity;
    let askedAt = -Infinity;
    let silentUntil = -Infinity;
    let waiting = false;
    let stop: () => void = () => undefined;
    const broker = () => {
      const view = t.view();
      return view && t.large() ? Lot.first(KEY, view.chain, (m) => m.id) : undefined;
    };
    const row = (server: string): WireRow => {
      const own = t.loads.mine().get(server);
      return [server, own?.runs ?? 0, own?.reads ?? 0, Math.round((own?.tokens ?? 0) / UNIT)];
    };
    const flush = (): void => {
      waiting = false;
      const to = broker();
      if (!to) {
        changed.clear();
        return;
      }
      const whole = to.id !== member || t.clock.mono() - toldAt > REFRESH;
      if (!whole && changed.size === 0) return;
      const names = whole ? t.loads.mine().keys() : changed;
      const rows = [...names].map(row);
      changed.clear();
      member = to.id;
      if (whole) toldAt = t.clock.mono();
      t.post.tell(to.addr, to.id, 'loads.own', { whole, rows });
    };
    t.loads.heed((server) => {
      changed.add(server);
      if (waiting) return;
      waiting = true;
      t.clock.after(0, flush);
    });
    return {
      /** Whether choices rest on what the member tells. */
      works: (): boolean => t.clock.mono() - askedAt < BACKOFF && t.clock.mono() >= silentUntil,
      /** Learns what all have under way, unless that was learnt at most `recent` ms ago or can't be. */
      async refresh(recent: number): Promise<void> {
        const now = t.clock.mono();
        if (now - askedAt < recent || now < silentUntil) return;
        const to = broker();
        if (!to) return;
        flush();
        const own = t.loads.snapshot();
        const held = index.now();
        const question = { list: held?.mark ?? null };
        const got = await t.post.ask(to.addr, to.id, 'loads.ask', question, Words.allLoads, REPLY_TIMEOUT);
        t.counters.count('load_queries', got.ok ? 'ok' : got.val);
        if (!got.ok) {
          silentUntil = t.clock.mono() + BACKOFF;
          return;
        }
        askedAt = now;
        const all = new Map<string, Load>();
        const put = (id: string | undefined, runs = 0, reads = 0, units = 0): void => {
          if (id !== undefined) all.set(id, { runs, reads, tokens: units * UNIT });
        };
        const { places, rows } = got.val;
        for (let i = 0; i < places.length; i += FIELDS) put(held?.ids[places[i]!], ...places.slice(i + 1, i + FIELDS));
        for (const [id, ...load] of rows) put(id, ...load);
        t.loads.exact(all, own, t.clock.mono());
      },
      start(): void {
        stop = Timer.every(t.clock, REFRESH, flush);
      },
      stop: (): void => stop(),
    };
  },
};
