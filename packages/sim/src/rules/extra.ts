import type { NeverRule } from '../neverrule.js';

const SHARE = 0.2;
const MARGIN = 10;

/** Never 10. */
export const Extra: NeverRule = {
  name: 'extra',
  never: 'extra tries grow beyond a fifth of the traffic and a small margin',
  judge(h) {
    const n = h.of('extra').length, all = h.of('wish').length;
    const over = n > all * SHARE + MARGIN;
    return { checked: all, broken: over ? [{ at: h.end, why: `${n} extra tries for ${all} visits`, deeds: [] }] : [], worst: `${all === 0 ? 0 : Math.round((1000 * n) / all) / 10}%` };
  },
};
