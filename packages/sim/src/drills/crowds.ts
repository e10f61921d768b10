import type { Drill } from '../drill.js';

/** Crowds and mixes. */
export const Crowds: readonly Drill[] = [
  {
    name: 'crowd', about: 'a crowd arrives all at once, twice',
    async run(s) {
      s.callers.crowd(250);
      await s.nap(5000);
      s.callers.crowd(250);
      await s.nap(8000);
    },
  },
  {
    name: 'swing', about: 'the mix swings between long prompts and long outcomes',
    async run(s) {
      s.callers.long(4);
      s.callers.mix([['review', 6], ['changelog', 2], ['verdict', 2]], 1.5);
      await s.nap(12_000);
      s.callers.long(0.2);
      s.callers.mix([['review', 6], ['changelog', 4]], 2.5);
      await s.nap(12_000);
      s.callers.long(1);
      s.callers.mix([['review', 1], ['changelog', 6], ['verdict', 3]]);
      await s.nap(3000);
    },
  },
];
