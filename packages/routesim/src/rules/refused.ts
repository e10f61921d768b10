import type { Rule } from '../rule.js';

/** What was refused has not run and never will. */
export const RefusedRule: Rule = {
  name: 'REFUSED',
  check(e) {
    const refused = [...e.answered.values()].filter((a) => {
      const s = e.sent.get(a.id)!;
      return a.outcome === 'refused' && s.kind !== 'idempotent' && !s.resumable;
    });
    const faults = refused.filter((a) => e.ran.has(a.id)).map((a) => `${a.id} ran at ${e.ran.get(a.id)![0]!.server}`);
    return { faults, looked: refused.length };
  },
};
