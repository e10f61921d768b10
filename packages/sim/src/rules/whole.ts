import type { NeverRule } from '../neverrule.js';

/** Never 3. */
export const Whole: NeverRule = {
  name: 'whole',
  never: "an answer is short but looks whole, is another request's, or has a piece twice or a gap",
  judge(h) {
    const all = h.of('whole');
    const broken = all
      .filter((d) => d['good'] !== true)
      .map((d) => ({
        at: d.at,
        why: `${String(d['key'])} looked whole and was not`,
        deeds: h.all.filter((x) => x['key'] === d['key']),
      }));
    const wrong = h
      .of('wrongpiece')
      .map((d) => ({ at: d.at, why: `${String(d['key'])} was given a wrong piece ${String(d['n'])}`, deeds: [d] }));
    return { checked: all.length, broken: [...broken, ...wrong], worst: `${broken.length} broken` };
  },
};
