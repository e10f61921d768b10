import type { NeverRule } from '../neverrule.js';

const MOST = 3000;

/** Never 5. */
export const Leaving: NeverRule = {
  name: 'leaving',
  never: 'a request reaches a server more than 3 s after it was listed as leaving or gone',
  judge(h) {
    const marks = h.of('listed');
    let worst = 0;
    let checked = 0;
    const broken = h.of('reach').flatMap((r) => {
      const since = marks.filter((m) => m.who === r.who && m.at <= r.at).at(-1);
      checked++;
      if (!since || since['mark'] === 'serving') return [];
      const late = r.at - since.at;
      worst = Math.max(worst, late);
      return late > MOST
        ? [
            {
              at: r.at,
              why: `${r.who} was reached ${Math.round(late)} ms after it was listed ${String(since['mark'])}`,
              deeds: [since, r],
            },
          ]
        : [];
    });
    return { checked, broken, worst: `${Math.round(worst)} ms` };
  },
};
