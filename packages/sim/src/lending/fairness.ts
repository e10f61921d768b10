import type { HistoryEvent } from '@pumicebarrow/forms';
import type { History } from '../history.js';

type Past = ReturnType<typeof History.make>;
type Place = { order: number; index: number };
const before = (a: Place, b: Place): boolean => a.order < b.order || (a.order === b.order && a.index < b.index);

/** What a daemon has given back it takes up again before anything later is begun there for the first time. */
export const Fairness = {
  broken(h: Past): string[] {
    const order = new Map(h.of('burst').map((d, i) => [String(d['key']), i]));
    const owed = new Map<string, Map<string, Place>>();
    const out: string[] = [];
    const of = (who: string): Map<string, Place> => {
      const mine = owed.get(who) ?? new Map<string, Place>();
      owed.set(who, mine);
      return mine;
    };
    const name = (d: HistoryEvent): string => `${String(d['burst'])}.${String(d['index'])}`;
    for (const d of h.all) {
      if (d.what === 'killed' || d.what === 'frozen') owed.delete(d.who);
      if (d.what === 'passedon') of(d.who).delete(String(d['name']));
      if (d.what !== 'generation' && d.what !== 'taken') continue;
      const place = { order: order.get(String(d['burst'])) ?? Infinity, index: Number(d['index']) };
      if (d.what === 'generation' && d['to'] === 'unrun') of(d.who).set(name(d), place);
      if (d.what !== 'taken') continue;
      for (const mine of owed.values()) mine.delete(name(d));
      if (d['mark'] !== 0) continue;
      const first = [...of(d.who)].find(([, p]) => before(p, place));
      if (first) out.push(`${d.who} began ${name(d)} while ${first[0]}, which it had begun and given back, waited`);
    }
    return out;
  },
};
