import type { NeverRule } from '../neverrule.js';

const MOST = 2000;

/** Never 6. A daemon that was down, frozen or cut off in that time is not judged; a later start is judged by `back`. */
export const Hold: NeverRule = {
  name: 'hold',
  never: 'a confirmed charter takes longer than 2 s to take hold everywhere',
  judge(h) {
    let worst = 0;
    let checked = 0;
    const held = h.of('held').filter((d) => d['name'] === 'charter');
    const broken = h.of('confirmed').flatMap((c) => h.edges.flatMap((id) => {
      if (c.at + MOST > h.end || !h.sound(id, c.at, c.at + MOST)) return [];
      checked++;
      const life = h.lives(id).find((s) => s.from <= c.at && s.to >= c.at + MOST)!;
      const got = held.find((d) => d.who === id && d.at >= life.from && (d['mark'] as [number, number])[0] >= Number(c['version']));
      const ms = got ? Math.max(0, got.at - c.at) : Infinity;
      worst = Math.max(worst, ms);
      return ms > MOST ? [{ at: c.at, why: `${id} held version ${String(c['version'])} after ${Math.round(ms)} ms`, deeds: [c, ...(got ? [got] : [])] }] : [];
    }));
    return { checked, broken, worst: `${Math.round(worst)} ms` };
  },
};
