import { Dice, Timer, type Ident, type PostBox, type World } from '@pumicebarrow/forms';
import { Type } from 'typebox';
import type { Listed } from './listed.js';
import type { Town } from './town.js';
import { TownList } from './townlist.js';

const OLD = 2500;
const POLL = 400;
/** How long after it was asked for a list may still bring a send to a server. */
const REACH = 3000;
const Shared = Type.Object(
  { list: Type.Union([TownList, Type.Null()]), age: Type.Number({ minimum: 0 }) },
  { additionalProperties: false },
);

/**
 * The platform's list, as young as can be had. Invariants: its age is counted from before it was asked for, in
 * monotonic ms, and travels with it; nothing is read off a list older than 2.5 s.
 */
export const TownWatch = {
  make(world: World, post: PostBox, town: Town, peers: () => readonly Ident[], look: () => void = () => undefined) {
    let list: TownList | null = null;
    let from = -Infinity;
    let dropped = -Infinity;
    let table: ReadonlyMap<string, Listed> = new Map();
    const ears: ((now: readonly Listed[]) => void)[] = [];
    let stop: () => void = () => undefined;
    const age = (): number => world.clock.mono() - from;
    const set = (next: TownList, at: number): void => {
      look();
      if (at <= from || at < dropped) return;
      list = next;
      from = at;
      table = new Map(next.servers.map((s) => [s.id, s]));
      for (const fn of ears) fn(next.servers);
    };
    const tick = async (): Promise<void> => {
      const at = world.clock.mono();
      const got = await town.poll();
      if (got.ok) {
        set(got.val, at);
        return;
      }
      const who = Dice.one(world.chance, peers());
      if (!who) return;
      const ask = world.clock.mono();
      const r = await post.ask(who.addr, who.id, 'town.list', {}, Shared, POLL);
      if (r.ok && r.val.list && r.val.age < OLD) set(r.val.list, ask - r.val.age);
    };
    post.on('town.list', Type.Object({}), () => ({ list: age() < OLD ? list : null, age: list ? age() : 0 }));
    return {
      start(): void {
        stop = Timer.every(world.clock, POLL, tick);
      },
      stop(): void {
        stop();
      },
      heed(fn: (now: readonly Listed[]) => void): void {
        ears.push(fn);
      },
      young(): boolean {
        look();
        return age() < OLD;
      },
      /** After a sleep of unknown length the list's age is unknown: it is let go, and asked for anew. */
      drop(): void {
        from = -Infinity;
        dropped = world.clock.mono();
        void tick();
      },
      age,
      /** The instant after which nothing sent by this list may take hold. */
      until: (): number => from + REACH,
      all(): readonly Listed[] {
        look();
        return age() < OLD ? (list?.servers ?? []) : [];
      },
      /** The server, if at this instant a young list shows it serving; else null. */
      good(id: string, born?: string): Listed | null {
        look();
        if (age() >= OLD) return null;
        const s = table.get(id);
        return s && s.mark === 'serving' && (born === undefined || s.born === born) ? s : null;
      },
    };
  },
};
