import type { NeverRule } from '../neverrule.js';

const SHARE = 0.2;
/** What each daemon may have saved up when a crowd's end meets trouble. */
const MARGIN = 3;
const WINDOWS = [2000, 10_000];

/** Never 10, over the whole run and over every window that ends on an extra try. */
export const Extra: NeverRule = {
  name: 'extra',
  never: 'extra tries grow beyond a fifth of the traffic and a small margin',
  judge(h) {
    const extra = h.of('extra').map((d) => d.at),
      all = h.of('gated').map((d) => d.at);
    const margin = MARGIN * h.edges.length;
    let worst = 0;
    const broken = [...WINDOWS, Infinity].flatMap((ms) => {
      let a = 0;
      let b = 0;
      let c = 0;
      return extra.flatMap((at, i) => {
        while (extra[a]! < at - ms) a++;
        while (b < all.length && all[b]! < at - ms) b++;
        while (c < all.length && all[c]! <= at) c++;
        const n = i - a + 1,
          over = n - SHARE * (c - b);
        worst = Math.max(worst, over);
        return over > margin ? [{ at, why: `${n} extra tries for ${c - b} requests within ${ms} ms`, deeds: [] }] : [];
      });
    });
    return { checked: all.length, broken: broken.slice(0, 5), worst: `${worst.toFixed(1)} of ${margin} above a fifth` };
  },
};
