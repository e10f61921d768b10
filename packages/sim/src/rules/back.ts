import type { NeverRule } from '../neverrule.js';

/** Never 7: a machine that has used a version uses no older one, through kills and freezes. */
export const BackRule: NeverRule = {
  name: 'back',
  never: 'a daemon goes back to an older charter',
  judge(h) {
    const top = new Map<string, number>();
    let checked = 0;
    const broken = h.all.filter((d) => (d.what === 'send' || d.what === 'serving') && d['version'] !== undefined).flatMap((d) => {
      checked++;
      const v = Number(d['version']), old = top.get(d.who) ?? 0;
      top.set(d.who, Math.max(old, v));
      return v < old ? [{ at: d.at, why: `${d.who} used version ${v} after ${old}`, deeds: [d] }] : [];
    });
    return { checked, broken, worst: `${broken.length} broken` };
  },
};
