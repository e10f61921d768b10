import type { Rule } from '../rule.js';

/** A stream's events come in order, once, of one run or of runs that go on where the last one ended, to the last. */
export const OrderedRule: Rule = {
  name: 'ORDER',
  check(e) {
    const faults: string[] = [];
    const all = [...e.answered.values()].filter((a) => a.pieces.length > 0);
    for (const a of all) {
      const s = e.sent.get(a.id)!;
      const wrong = a.pieces.findIndex((p, i) => p.n !== s.after + i + 1);
      if (wrong >= 0) faults.push(`${a.id}: event ${a.pieces[wrong]!.n} after ${s.after + wrong}`);
      if (!s.resumable && new Set(a.pieces.map((p) => p.run)).size > 1) faults.push(`${a.id}: of two runs`);
      if (a.outcome === 'whole' && s.after + a.pieces.length !== s.total) faults.push(`${a.id} ended early`);
    }
    for (const a of e.answered.values())
      if (a.outcome === 'whole' && a.pieces.length === 0 && e.sent.get(a.id)!.after < e.sent.get(a.id)!.total)
        faults.push(`${a.id} ended before its first event`);
    return { faults, looked: all.length };
  },
};
