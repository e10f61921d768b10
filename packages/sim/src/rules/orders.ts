import type { NeverRule } from '../neverrule.js';

const LEAST = 2500;

/** Never 11. */
export const Orders: NeverRule = {
  name: 'orders',
  never: 'two daemons order one server within a few seconds',
  judge(h) {
    const all = h.of('ordered');
    let worst = Infinity;
    const broken = all.flatMap((d, i) => {
      const old = all
        .slice(0, i)
        .reverse()
        .find((x) => x.who === d.who);
      if (!old || old['by'] === d['by']) return [];
      worst = Math.min(worst, d.at - old.at);
      return d.at - old.at < LEAST
        ? [
            {
              at: d.at,
              why:
                `${d.who} was ordered by ${String(old['by'])} and ${String(d['by'])} within ` +
                `${Math.round(d.at - old.at)} ms`,
              deeds: [old, d],
            },
          ]
        : [];
    });
    return { checked: all.length, broken, worst: worst === Infinity ? 'none met' : `${Math.round(worst)} ms` };
  },
};
