import { Bounds } from '../bounds.js';
import { Handlings } from '../handlings.js';
import type { Rule } from '../rule.js';

/** What was acknowledged is soon in force everywhere in touch; what lost or was invalid never is. */
export const ConfigLateRule: Rule = {
  name: 'CONFIG in force',
  check(e) {
    const faults: string[] = [];
    const acked = [...e.ruled.values()].filter((r) => r.outcome === 'acked');
    const never = new Set(
      [...e.ruled.values()].filter((r) => r.outcome === 'bad' || r.outcome === 'lost').map((r) => r.n),
    );
    const revision = new Map(e.proposals.map((p) => [p.n, p.revision]));
    const all = Handlings.of(e);
    for (const h of all) {
      const may = h.by.filter((p) => !never.has(p.n));
      if (may.length === 0) {
        faults.push(`${h.id} was handled at ${h.router} by what lost or is invalid: ${h.by.map((p) => p.n).join()}`);
        continue;
      }
      const newest = Math.max(
        0,
        ...acked.filter((r) => r.at <= h.sent - Bounds.apply).map((r) => revision.get(r.n) ?? 0),
      );
      if (may.some((p) => p.revision >= newest)) continue;
      if (e.contact.touch(h.router, h.sent) && e.contact.touch(h.router, h.at))
        faults.push(`${h.id} at ${Math.round(h.sent)} was handled at ${h.router} by less than revision ${newest}`);
    }
    return { faults, looked: all.length };
  },
};
