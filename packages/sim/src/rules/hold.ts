import type { HistoryEvent } from '@pumicebarrow/forms';
import type { History } from '../history.js';
import type { NeverRule } from '../neverrule.js';

const MOST = 2000;
type Past = ReturnType<typeof History.make>;
type Broken = { at: number; why: string; deeds: HistoryEvent[] };

/**
 * For each stretch in which a daemon is up, awake and linked: 2 s from its start, or from a confirm within it, until
 * the daemon holds the newest. A stretch that begins with a start of the daemon, or falls on a core that is not whole,
 * is judged by what the daemon uses alone, since there may be nobody yet to ask.
 */
const holdings = (h: Past): { checked: number; worst: number; broken: Broken[] } => {
  const held = h.of('held').filter((d) => d['name'] === 'charter');
  const out = { checked: 0, worst: 0, broken: [] as Broken[] };
  for (const id of h.edges) {
    const got = held.filter((d) => d.who === id);
    for (const s of h.stretches(id)) {
      for (const c of h.of('confirmed')) {
        const from = Math.max(s.from, c.at),
          due = from + MOST;
        if (c.at > s.to || due > Math.min(s.to, h.end)) continue;
        if (c.at < s.from && (s.born || !h.coreWhole(s.from, due))) continue;
        out.checked++;
        const first = got.find((d) => d.at >= s.life && (d['mark'] as [number, number])[0] >= Number(c['version']));
        const ms = first ? Math.max(0, first.at - from) : Infinity;
        out.worst = Math.max(out.worst, ms);
        if (ms <= MOST) continue;
        out.broken.push({
          at: from,
          why: `${id} held version ${String(c['version'])} after ${Math.round(ms)} ms`,
          deeds: [c, ...(first ? [first] : [])],
        });
      }
    }
  }
  return out;
};
/**
 * Nothing is sent under an older charter 2 s after a newer one was confirmed, even by one that has just started or
 * woken.
 */
const uses = (h: Past): { checked: number; broken: Broken[] } => {
  const yes = h.of('confirmed');
  const sends = h.of('send').filter((d) => d['version'] !== undefined);
  const broken = sends.flatMap((d) => {
    const c = yes.find((x) => x.at < d.at - MOST && Number(x['version']) > Number(d['version']));
    if (!c || !h.linked(d.who, d.at - MOST, d.at)) return [];
    return [
      {
        at: d.at,
        why: `${d.who} sent under ${String(d['version'])}, ${Math.round(d.at - c.at)} ms after ${String(c['version'])}`,
        deeds: [c, d],
      },
    ];
  });
  return { checked: sends.length, broken };
};

/** Never 6: what daemons hold, and what they use. */
export const Hold: NeverRule = {
  name: 'hold',
  never: 'a confirmed charter takes longer than 2 s to take hold everywhere',
  judge(h) {
    const a = holdings(h),
      b = uses(h);
    return { checked: a.checked + b.checked, broken: [...a.broken, ...b.broken], worst: `${Math.round(a.worst)} ms` };
  },
};
