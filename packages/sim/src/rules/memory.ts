import type { NeverRule } from '../neverrule.js';

/** Never 4. */
export const Memory: NeverRule = {
  name: 'memory',
  never: "a decode server continues from another request's memory",
  judge(h) {
    const want = new Map(h.of('wish').map((d) => [d['key'], d['digest']]));
    const all = h.of('ran');
    const broken = all
      .filter((d) => want.get(d['key']) !== d['digest'])
      .map((d) => ({
        at: d.at,
        why: `${String(d['key'])} went on from other memory`,
        deeds: h.all.filter((x) => x['key'] === d['key']),
      }));
    return { checked: all.length, broken, worst: `${broken.length} broken` };
  },
};
