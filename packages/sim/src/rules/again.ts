import type { NeverRule } from '../neverrule.js';

const MOST = 12_000;

/**
 * Never 12: each zone and each rule is served within 12 s of the last fault's end, and from then on nearly all
 * requests are.
 */
export const Again: NeverRule = {
  name: 'again',
  never: "no service within 12 s of the machines' return",
  judge(h) {
    const over = h.of('over').at(-1);
    if (!over) return { checked: 0, broken: [], worst: 'no fault' };
    const whole = new Map(
      h
        .of('whole')
        .filter((d) => d['good'] === true)
        .map((d) => [d['key'], d.at]),
    );
    const wishes = h.of('wish').filter((d) => d.at > over.at);
    const sorts = [...new Set(wishes.flatMap((d) => [d.who, String(d['rule'])]))];
    let worst = 0;
    const broken = sorts.flatMap((sort) => {
      const first = Math.min(
        ...wishes.filter((d) => d.who === sort || d['rule'] === sort).map((d) => whole.get(d['key']) ?? Infinity),
      );
      const ms = first - over.at;
      worst = Math.max(worst, ms);
      return ms > MOST ? [{ at: over.at, why: `${sort} was served again after ${ms} ms`, deeds: [over] }] : [];
    });
    const late = wishes.filter((d) => d.at > over.at + MOST && d.at < h.end - 8000);
    const good = late.filter((d) => whole.has(d['key'])).length;
    if (late.length > 10 && good < late.length * 0.9)
      broken.push({
        at: over.at + MOST,
        why: `only ${good} of ${late.length} requests were whole after 12 s`,
        deeds: [over],
      });
    return { checked: sorts.length + late.length, broken, worst: `${Math.round(worst)} ms` };
  },
};
