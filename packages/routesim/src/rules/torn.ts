import { Bounds } from '../bounds.js';
import type { Rule } from '../rule.js';

/** Around planned work no connection ends without its whole answer. */
export const TornRule: Rule = {
  name: 'LOST',
  check(e) {
    const near = [...e.answered.values()].filter((a) => {
      const t = e.contact.planned(e.sent.get(a.id)!.router, a.at);
      return t !== undefined && !e.contact.unplanned(e.sent.get(a.id)!.at - Bounds.contact, a.at);
    });
    const bad = near.filter((a) => {
      const s = e.sent.get(a.id)!,
        t = e.contact.planned(s.router, a.at)!;
      if (a.outcome !== 'cut' || e.spoilt.has(a.id) || a.at >= s.due - 50) return false;
      if (a.at > t.at + Bounds.grace / 2 && s.at < t.at + Bounds.grace / 2) return false;
      return e.arrived.has(a.id) || a.at > s.at + Bounds.slack;
    });
    return { faults: bad.map((a) => `${a.id} was cut at ${Math.round(a.at)}`), looked: near.length };
  },
};
