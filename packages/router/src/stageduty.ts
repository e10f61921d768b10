import { Order, Timer, type Clock, type Log } from '@pumicebarrow/forms';
import type { Holding, Purging } from '@pumicebarrow/purge';
import type { SheetRow } from '@pumicebarrow/registry';
import type { Engine } from './engine.js';
import type { Server } from './server.js';
import { Placement } from './placement.js';
import { StageMix } from './stagemix.js';

type Load = { read: number; beside: number; run: number };
type Stage = 'prefill' | 'decode';
type Tools = {
  clock: Clock;
  log: Log;
  engine: Engine;
  purge: Purging;
  shelf: Holding;
  /** The fence under which this daemon has the duty at this instant; null when it hasn't. */
  fence: () => number | null;
  self: string;
  servers: () => readonly Server[];
  load: () => Load;
  /** ms that orders of two holders must lie apart. */
  lease: number;
  /** ms that a server of a service is away while it changes its stage. */
  away: (service: string) => number;
};
type Change = { server: Server; stage: Stage; at: number; asked: number };
const LOOK = 400;
const ASK = 800;
const PACE = 45;
const NEW = 0.2;
const CALM = 6000;
const AGAIN = 2000;
const GIVE_UP = 20_000;
const SPARE = 400;
/** A head that goes out of the chain comes back behind others: so many epochs on it can't be head again. */
const OWN = 2;
/** What a change takes in all, in times of what the server is away for: it is emptied first. */
const EMPTIED = 2;

/**
 * Which servers of a service read and which decode: looked after by one daemon, under a fence.
 * Invariants: an order leaves only under a fence that is live at that instant, and not before the lease of another
 * holder's last order has surely passed, which under its own next fence it has; the sheet's row says what was ordered
 * before the order leaves, so no router sends there by the old stage; one change of a service at a time, but where a
 * stage is bare.
 */
export const StageDuty = {
  make(t: Tools) {
    const mixes = new Map<string, ReturnType<typeof StageMix.make>>();
    const changes = new Map<string, Change>();
    let mean: Load = { read: 0, beside: 0, run: 0 };
    let held: number | null = null;
    let last = -Infinity;
    let since = Infinity;
    let moved = -Infinity;
    let stop: () => void = () => undefined;
    const now = (): number => t.clock.mono();
    const write = (fence: number, s: Server, part: Stage, stage: SheetRow['stage']): void => {
      const name = `row:${s.id}`;
      const mark = Order.next(t.shelf.mark(name), fence);
      if (mark) t.purge.publish({ name, mark, body: { server: s.id, born: s.id, part, stage, by: t.self } });
    };
    const ask = async (c: Change): Promise<void> => {
      c.asked = now();
      const fence = t.fence();
      if (fence === null || fence !== held) return;
      const got = await t.engine.order(c.server, { stage: c.stage, holder: t.self, fence }, ASK);
      t.log.say(`${c.server.id} is ordered to ${c.stage}: ${String(got.val)}.`);
    };
    const begin = (fence: number, server: Server, stage: Stage): void => {
      const c = { server, stage, at: now(), asked: now() };
      changes.set(server.id, c);
      moved = now();
      write(fence, server, stage, 'draining');
      void ask(c);
    };
    /** Those under way: asked again where no word of it is seen, ended once the list shows it. */
    const follow = (fence: number, all: readonly Server[]): void => {
      for (const [id, c] of changes) {
        const s = all.find((x) => x.id === id);
        if (!s || s.state !== 'ready') changes.delete(id);
        else if (s.stage === c.stage || now() - c.at > GIVE_UP) {
          write(fence, s, s.stage ?? c.stage, 'serving');
          changes.delete(id);
        } else if (now() - c.asked > AGAIN) void ask(c);
      }
    };
    /** The one whose zone has the most of its stage; of those, always the same. */
    const pick = (list: readonly Server[]): Server | undefined => {
      const zones = new Map<string, number>();
      for (const s of list) zones.set(s.zone, (zones.get(s.zone) ?? 0) + 1);
      return [...list].sort(
        (a, b) => (zones.get(b.zone) ?? 0) - (zones.get(a.zone) ?? 0) || a.warm - b.warm || (a.id < b.id ? -1 : 1),
      )[0];
    };
    const look = (fence: number, service: string, all: readonly Server[], early: boolean): void => {
      const mine = all.filter((s) => s.service === service && s.state === 'ready' && s.stage !== null);
      const part = (s: Server): Stage => changes.get(s.id)?.stage ?? s.stage!;
      const of = (stage: Stage): Server[] => mine.filter((s) => part(s) === stage);
      const count = { prefill: of('prefill').length, decode: of('decode').length };
      const mix = mixes.get(service) ?? StageMix.make();
      mixes.set(service, mix);
      const load = {
        read: mean.read / PACE / Math.max(1, count.prefill),
        run: mean.run / Math.max(1, count.decode),
        room: Math.max(1, ...mine.map((s) => s.slots)) * Placement.FULL,
      };
      const lean = mix.look(load, count, Math.ceil((t.away(service) * EMPTIED) / LOOK));
      const bare = count.prefill < 1 || count.decode < 1;
      if (lean === 0 || early || (!bare && (changes.size > 0 || now() - moved < CALM))) return;
      const from: Stage = lean > 0 ? 'decode' : 'prefill';
      const s = pick(of(from).filter((x) => !changes.has(x.id)));
      if (!s) return;
      t.log.say(
        `${service}: ${count.prefill} read, ${count.decode} decode; ${Math.round(load.read)} ms wait to be read, ` +
          `${Math.round(load.run)} run at each.`,
      );
      mix.reset();
      begin(fence, s, lean > 0 ? 'prefill' : 'decode');
    };
    /** What was seen before the claim lapsed is no need that lasts; nor is it known what another ordered. */
    const renew = (fence: number, lapsed: boolean): void => {
      const own = fence - last <= OWN;
      last = fence;
      if (lapsed || !own) mixes.clear();
      if (own) return;
      since = now();
      changes.clear();
      mean = { read: 0, beside: 0, run: 0 };
    };
    const tick = (): void => {
      const fence = t.fence();
      if (fence !== held) {
        const lapsed = held === null;
        held = fence;
        if (fence !== null) renew(fence, lapsed);
      }
      if (fence === null) return;
      // What is needed is seen from the start; nothing is ordered before the lease has passed.
      const early = now() - since < t.lease + SPARE;
      const load = t.load();
      const blend = (a: number, b: number): number => a * (1 - NEW) + b * NEW;
      mean = {
        read: blend(mean.read, load.read),
        beside: blend(mean.beside, load.beside),
        run: blend(mean.run, load.run),
      };
      const all = t.servers();
      if (!early) follow(fence, all);
      for (const service of new Set(all.filter((s) => s.stage !== null).map((s) => s.service)))
        look(fence, service, all, early);
    };
    return {
      start(): void {
        stop = Timer.every(t.clock, LOOK, tick);
      },
      stop: (): void => stop(),
      tick,
    };
  },
};
