import { Random, type HistoryEvent } from '@pumicebarrow/forms';
import type { Act } from './act.js';
import { Bench } from './bench.js';
import { CoreRun } from './corerun.js';
import type { Scripter } from './scripter.js';

type Run = {
  deeds: readonly HistoryEvent[];
  broken: readonly string[];
  met: Readonly<Record<string, number>>;
  events: number;
};
const WAYS = [
  'kill kill freeze pause cut curt oneway stall fail wipe wipe tear lose snare snare move',
  'confirm confirm confirm race race read read lease lease handover handover',
].flatMap((l) => l.split(' ') as Act['does'][]);
const SOFT = new Set<Act['does']>(['confirm', 'race', 'read', 'lease']);
const NAMES = ['row:m1', 'row:m2'];
const KINDS = ['self', 'vote', 'view', 'state'];
const others = (id: string): string[] => Bench.ids.filter((x) => x !== id);
const kind = (a: Act): string => KINDS[Math.floor(a.size * KINDS.length)]!;

/** A charter is confirmed by whoever is left, and read all the while by one that may still know the old view. */
const watched = async (s: Scripter): Promise<void> => {
  for (let i = 0; i < 30; i++) {
    await s.nap(150);
    if (i % 10 === 9) void s.change(1);
    void s.read();
  }
};

/** One claims a name, the head goes, and another claims it again and again at whoever is the head then. */
const handover = async (s: Scripter, a: Act): Promise<void> => {
  await s.lease(NAMES[0]!, 'x');
  if (a.size < 0.5) s.down(a.who, 900);
  else s.b.boxes.get(a.who)!.freeze(1800);
  for (let i = 0; i < 30; i++) {
    await s.nap(100);
    void s.lease(NAMES[0]!, 'y');
  }
};

/** What each act does. Sizes are parts of one, so that a list of acts can be shortened and run again. */
const doing = (s: Scripter): Record<Act['does'], (a: Act) => void> => {
  const { b, down } = s;
  const lift = (ms: number, fn: () => void): void => b.motor.at(s.now() + ms, fn);
  return {
    kill: (a) => down(a.who, 10 + a.size * 3000),
    freeze: (a) => b.boxes.get(a.who)!.freeze(300 + a.size * 4000),
    cut: (a) => {
      lift(1500 + a.size * 4000, b.net.cut([a.who], [...others(a.who), 'o1']));
      void watched(s);
    },
    pause: (a) => b.boxes.get(a.who)!.pause(300 + a.size * 4000),
    curt: (a) => lift(500 + a.size * 4000, b.net.cut([a.who], [others(a.who)[a.size < 0.5 ? 0 : 1]!], false, true)),
    oneway: (a) => lift(500 + a.size * 4000, b.net.cut([a.who], others(a.who), true)),
    stall: (a) => b.disks.get(a.who)!.stall(500 + a.size * 4000),
    fail: (a) => {
      b.disks.get(a.who)!.fail(Math.floor(a.size * 6));
      lift(1500, () => b.disks.get(a.who)!.fail(null));
    },
    wipe: (a) => down(a.who, 10 + a.size * 2000, () => b.disks.get(a.who)!.wipe()),
    tear: (a) =>
      down(a.who, 10 + a.size * 2000, () => {
        b.disks.get(a.who)!.tear(kind(a));
      }),
    lose: (a) =>
      down(a.who, 10 + a.size * 2000, () => {
        b.disks.get(a.who)!.lose(kind(a));
      }),
    snare: (a) => b.disks.get(a.who)!.snare(1 + Math.floor(a.size * 14), () => down(a.who, 10 + a.size * 1500)),
    move: (a) => down(a.who, 10 + a.size * 1500, () => b.move(a.who)),
    confirm: () => void s.change(1),
    race: () => void s.change(3),
    read: () => void s.read(),
    lease: (a) => void s.lease(NAMES[a.size < 0.5 ? 0 : 1]!, a.who),
    handover: (a) => void handover(s, a),
  };
};

/**
 * The core alone under schedules drawn from a seed: which act when, how long each mail and each disk operation takes.
 * Invariant: one core at a time is lost, so an act that would take a second one waits until the first is whole again.
 */
export const Explore = {
  acts(seed: number, n: number): Act[] {
    const chance = Random.seeded(seed * 7919 + 1);
    let at = 3000;
    return Array.from({ length: n }, () => {
      at += chance.real() < 0.5 ? Random.int(chance, 40) : Random.int(chance, 2500);
      return { at, does: Random.pick(chance, WAYS)!, who: Random.pick(chance, Bench.ids)!, size: chance.real() };
    });
  },
  async run(seed: number, acts: readonly Act[]): Promise<Run> {
    const met: Record<string, number> = {};
    const script = async (s: Scripter): Promise<void> => {
      const one = doing(s),
        { chance } = s.b.motor,
        wild = chance.real() * 0.03;
      s.b.net.vary(() => {
        const r = chance.real();
        return r < wild ? chance.real() * 1500 : r < 0.3 ? chance.real() * 60 : 0.2 + chance.real() * 2;
      });
      for (const a of acts) {
        if (a.at > s.now()) await s.nap(a.at - s.now());
        if (!SOFT.has(a.does)) {
          for (const d of s.b.disks.values()) d.disarm();
          if (!(await s.healed())) {
            s.note('unhealed', { before: a.does });
            return;
          }
        }
        met[a.does] = (met[a.does] ?? 0) + 1;
        s.note('act', { ...a });
        one[a.does](a);
        if (a.does === 'snare') await s.change(1);
      }
    };
    return { ...(await CoreRun.run(seed, script)), met };
  },
  /** The fewest acts of a failing schedule that still fail, found by leaving out one after another. */
  async shorten(seed: number, acts: readonly Act[]): Promise<readonly Act[]> {
    let left = acts;
    for (let i = left.length - 1; i >= 0; i--) {
      const fewer = left.filter((_, n) => n !== i);
      if ((await Explore.run(seed, fewer)).broken.length > 0) left = fewer;
    }
    return left;
  },
};
