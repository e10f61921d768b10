import { Order, Timer, type Clock, type Log } from '@pumicebarrow/forms';
import type { Holding, Purging } from '@pumicebarrow/purge';
import type { SheetRow } from '@pumicebarrow/registry';
import { Changing } from './changing.js';
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
type Change = { server: Server; stage: Stage; at: number; asked: number; many: boolean };
const LOOK = 400;
const ASK = 800;
const PACE = 45;
const NEW = 0.2;
/** The sums of a large service vary less, so what they were is forgotten sooner. */
const SOONER = 0.4;
/** Prompt tokens that weigh as much at a decode server as a run does, in a large service. */
const BESIDE = 400;
/** ms that word of a change of many is given to reach all before the order leaves; one at a time is no matter. */
const WORD = 1000;
/** The next change of a service waits until no more than this part of the last is under way. */
const REST = 0.2;
const CALM = 6000;
const AGAIN = 2000;
const GIVE_UP = 20_000;
const SPARE = 400;
/** What a change takes in all, in times of what the server is away for: it is emptied first. */
const EMPTIED = 2;

/**
 * Which servers of a service read and which decode: looked after by one daemon, under a fence.
 * Invariants: an order leaves only under a fence that is live at that instant, and not before the lease of another
 * holder's last order has surely passed: fences rise by one, so where the one before was ours there was no other; the
 * sheet's row says what was ordered before the order leaves, so no router sends there by the old stage; of many that
 * change together it says so early enough for all to hear it. One change of a service at a time, of one server or of
 * several, but where a stage is bare, or has one server and servers have left since the last was ordered. What another
 * holder began goes on.
 */
export const StageDuty = {
  make(t: Tools) {
    const mixes = new Map<string, ReturnType<typeof StageMix.make>>();
    const changes = new Map<string, Change>();
    let mean: Load = { read: 0, beside: 0, run: 0 };
    let held: number | null = null;
    /** The last fence that was ours. */
    let ours: number | null = null;
    let unheard = true;
    let since = Infinity;
    let moved = -Infinity;
    let last = 0;
    /** How many servers each service had when one of it was last ordered. */
    const had = new Map<string, number>();
    let stop: () => void = () => undefined;
    const now = (): number => t.clock.mono();
    const write = (fence: number, s: Server, part: Stage, stage: SheetRow['stage']): void => {
      const name = `row:${s.id}`;
      const mark = Order.next(t.shelf.mark(name), fence);
      if (mark) t.purge.publish({ name, mark, body: { server: s.id, born: s.id, part, stage, by: t.self } });
    };
    /** Says which servers change together. */
    const tell = (fence: number): void => {
      const mark = Order.next(t.shelf.mark('changes'), fence);
      const rows = [...changes.values()].filter((c) => c.many).map((c) => [c.server.id, c.stage] as const);
      if (mark) t.purge.publish({ name: 'changes', mark, body: { rows, by: t.self } });
    };
    const ask = async (c: Change): Promise<void> => {
      c.asked = now();
      const fence = t.fence();
      if (fence === null || fence !== held) return;
      const got = await t.engine.order(c.server, { stage: c.stage, holder: t.self, fence }, ASK);
      t.log.say(`${c.server.id} is ordered to ${c.stage}: ${String(got.val)}.`);
    };
    const begin = (fence: number, server: Server, stage: Stage): void => {
      const c = { server, stage, at: now(), asked: now(), many: false };
      changes.set(server.id, c);
      // Those that are done are named no longer: one of them may be the server.
      if (Changing.together(t.shelf).size > 0) tell(fence);
      write(fence, server, stage, 'draining');
      void ask(c);
    };
    const beginMany = (fence: number, some: readonly Server[], stage: Stage): void => {
      for (const server of some)
        changes.set(server.id, { server, stage, at: now(), asked: now() - AGAIN + WORD, many: true });
      tell(fence);
    };
    /** A change of many that the holder before told of goes on, or routers would wait for its end in vain. */
    const inherit = (all: readonly Server[]): void => {
      for (const [id, stage] of Changing.together(t.shelf)) {
        const server = all.find((s) => s.id === id);
        if (server) changes.set(id, { server, stage, at: now(), asked: now(), many: true });
      }
    };
    /** Those under way: asked again where no word of it is seen, ended once the list shows it. */
    const follow = (fence: number, all: readonly Server[]): void => {
      const shown = new Map(all.map((s) => [s.id, s]));
      let given = false;
      for (const [id, c] of changes) {
        const s = shown.get(id);
        const over = !s || s.state !== 'ready' || s.stage === c.stage || now() - c.at > GIVE_UP;
        if (over) {
          if (s?.state === 'ready' && !c.many) write(fence, s, s.stage ?? c.stage, 'serving');
          changes.delete(id);
          given ||= c.many && s?.state === 'ready' && s.stage !== c.stage;
        } else if (now() - c.asked > AGAIN) void ask(c);
      }
      // Those that are done stay named until all are: a router may hold the list that doesn't show it yet.
      const many = [...changes.values()].some((c) => c.many);
      if (given || (!many && Changing.together(t.shelf).size > 0)) tell(fence);
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
      // What is read beside runs is, where one server reads, what that one has no time for.
      const waiting = mean.read + (count.prefill === 1 ? mean.beside : 0);
      const load = {
        read: waiting / PACE / Math.max(1, count.prefill),
        run: (mean.run + (mine.length < StageMix.LARGE ? 0 : mean.beside / BESIDE)) / Math.max(1, count.decode),
        room: Math.max(1, ...mine.map((s) => s.slots)) * Placement.FULL,
      };
      const move = mix.look(load, count, Math.ceil((t.away(service) * EMPTIED) / LOOK));
      const bare = count.prefill < 1 || count.decode < 1;
      // Where one server has all of a stage, what was ordered for more servers than are left is no reason to wait.
      const lone = (move > 0 ? count.prefill : count.decode) === 1;
      const urgent = bare || (lone && mine.length < (had.get(service) ?? 0));
      if (move === 0 || early || (!urgent && (changes.size > last * REST || now() - moved < CALM))) return;
      const from: Stage = move > 0 ? 'decode' : 'prefill',
        to: Stage = move > 0 ? 'prefill' : 'decode';
      const some: Server[] = [];
      while (some.length < Math.abs(move)) {
        const s = pick(of(from).filter((x) => !changes.has(x.id) && !some.includes(x)));
        if (!s) break;
        some.push(s);
      }
      if (some.length === 0) return;
      t.log.say(
        `${service}: ${count.prefill} read, ${count.decode} decode; ${Math.round(load.read)} ms wait to be read, ` +
          `${Math.round(load.run)} run at each, ${Math.round(mean.beside / PACE)} ms wait beside runs; ` +
          `${some.length} change to ${to}.`,
      );
      mix.reset();
      had.set(service, mine.length);
      moved = now();
      last = some.length > 1 ? some.length : 0;
      if (some.length > 1) beginMany(fence, some, to);
      else begin(fence, some[0]!, to);
    };
    /** Whether no other daemon can have held the duty since we last did. */
    const follows = (fence: number): boolean => ours !== null && (fence === ours || fence === ours + 1);
    const tick = (): void => {
      const fence = t.fence();
      held = fence;
      if (fence === null) return;
      if (!follows(fence)) {
        since = now();
        changes.clear();
        mixes.clear();
        mean = { read: 0, beside: 0, run: 0 };
        unheard = true;
      }
      ours = fence;
      // What is needed is seen from the start; nothing is ordered before the lease has passed.
      const early = now() - since < t.lease + SPARE;
      const load = t.load();
      const all = t.servers();
      const part = all.length < StageMix.LARGE ? NEW : SOONER;
      const blend = (a: number, b: number): number => a * (1 - part) + b * part;
      mean = {
        read: blend(mean.read, load.read),
        beside: blend(mean.beside, load.beside),
        run: blend(mean.run, load.run),
      };
      if (!early && unheard && all.length > 0) {
        unheard = false;
        inherit(all);
      }
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
