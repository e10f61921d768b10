import type { HistoryEvent } from '@pumicebarrow/forms';
import type { History } from '../history.js';
import type { NeverRule } from '../neverrule.js';

type Past = ReturnType<typeof History.make>;
type Broken = { at: number; why: string; deeds: HistoryEvent[] };

/** A machine that has used a version uses no older one, through kills and freezes. */
const used = (h: Past): Broken[] => {
  const top = new Map<string, number>();
  return h.all
    .filter((d) => (d.what === 'send' || d.what === 'serving') && d['version'] !== undefined)
    .flatMap((d) => {
      const v = Number(d['version']),
        old = top.get(d.who) ?? 0;
      top.set(d.who, Math.max(old, v));
      return v < old ? [{ at: d.at, why: `${d.who} used version ${v} after ${old}`, deeds: [d] }] : [];
    });
};
/** What an operator is told shows whatever was confirmed, read or told before it was asked. */
const told = (h: Past): Broken[] => {
  const yes = h.of('verdict').filter((d) => d['code'] === 'confirmed');
  const back = h.of('readback').filter((d) => d['version'] !== null);
  return back.flatMap((d) => {
    const from = Number(d['from']),
      v = Number(d['version']),
      own = (x: HistoryEvent): boolean => x['of'] === d['of'];
    const before = [...back.filter(own), ...(d['of'] === 'core' ? yes : [])];
    const old = before.find((x) => x.at < from && Number(x['version']) > v);
    return old
      ? [{ at: d.at, why: `${String(d['of'])} was told as ${v}, after ${String(old['version'])}`, deeds: [old, d] }]
      : [];
  });
};

/** Never 7: what daemons use, and what operators are told. */
export const BackRule: NeverRule = {
  name: 'back',
  never: 'a daemon goes back to an older charter',
  judge(h) {
    const broken = [...used(h), ...told(h)];
    return { checked: h.of('send').length + h.of('readback').length, broken, worst: `${broken.length} broken` };
  },
};
