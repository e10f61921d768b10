import type { Drill } from '../drill.js';

/** Crowds and mixes. */
export const Crowds: readonly Drill[] = [
  {
    name: 'crowd',
    about: 'a crowd arrives all at once, twice',
    meets: ['burst'],
    async run(s) {
      s.callers.crowd(1200);
      await s.nap(6000);
      s.callers.crowd(1200);
      await s.nap(8000);
    },
  },
  {
    name: 'swing',
    about: 'the mix swings between long prompts and long answers',
    meets: ['swung'],
    async run(s) {
      s.callers.long(6);
      s.callers.mix({ review: 6, changelog: 2, verdict: 2 }, 6);
      await s.nap(15_000);
      s.callers.long(0.1);
      s.callers.mix({ review: 8, changelog: 2 }, 12);
      await s.nap(15_000);
      s.callers.long(1);
      s.callers.mix({ review: 1, changelog: 6, verdict: 3 });
      await s.nap(3000);
    },
  },
];
