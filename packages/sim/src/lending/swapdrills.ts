import type { Scene } from '../scene.js';
import type { LentDrill } from './lentdrill.js';
import type { Trainers } from './trainers.js';

type Training = ReturnType<typeof Trainers.make>;
const LONG = 120_000;
const SWAP = 20_000;
/** Bursts that writers hold up, one after another, until a server writes for them. */
const begin = async (s: Scene, t: Training): Promise<() => { who: string } | null> => {
  s.callers.mix({ changelog: 1 }, 0.3);
  const heard = t.hears((d) => d.what === 'mix' && Number(d['lent']) !== 0);
  for (let i = 0; i < 3; i++) await t.begin(`burst-${i}`, 16, 16, 1, i === 1 ? 'rollout' : 'rollon');
  await t.until(() => heard() !== null, SWAP);
  return heard;
};
/** Long prompts come until the server is called back. */
const wave = async (s: Scene, t: Training): Promise<void> => {
  const back = t.hears((d) => d.what === 'mix' && d['back'] === true);
  s.callers.mix({ review: 1 }, 2);
  await t.until(() => back() !== null, 15_000);
  await s.nap(4000);
  s.callers.mix({ changelog: 1 }, 0.3);
};

/** Servers that change their part for bursts, and go back. */
export const SwapDrills: readonly LentDrill[] = [
  {
    name: 'swapwave',
    about: 'a server changes its part for bursts, and long live prompts call it back, again and again',
    meets: ['lent', 'swapped', 'returned'],
    swaps: true,
    async run(s, t) {
      await begin(s, t);
      for (let i = 0; i < 2; i++) {
        await s.nap(i === 0 ? 500 : 6000);
        await wave(s, t);
        if (i < 1) await t.begin(`burst-x${i}`, 16, 12, 1, 'rollon');
      }
      await t.finish(LONG);
    },
  },
  {
    name: 'swapkill',
    about: 'the daemon that lent a server is killed while it plays the other part, and long live prompts come',
    meets: ['swapped', 'killed', 'returned'],
    swaps: true,
    async run(s, t) {
      const heard = await begin(s, t);
      const who = heard()?.who;
      await s.nap(500);
      if (who) s.f.kill(who);
      await wave(s, t);
      if (who) s.f.start(who);
      await t.finish(LONG);
    },
  },
  {
    name: 'swapfreeze',
    about: 'the daemon that lent a server freezes while it plays the other part, and wakes once another has it back',
    meets: ['swapped', 'frozen', 'returned'],
    swaps: true,
    async run(s, t) {
      const heard = await begin(s, t);
      const who = heard()?.who;
      await s.nap(500);
      if (who) s.f.freeze(who, 9000);
      await wave(s, t);
      await t.finish(LONG);
    },
  },
  {
    name: 'swapend',
    about: 'a server changes its part for bursts, which come to their end',
    meets: ['lent', 'swapped', 'returned'],
    swaps: true,
    async run(s, t) {
      await begin(s, t);
      await t.finish(LONG);
    },
  },
];
