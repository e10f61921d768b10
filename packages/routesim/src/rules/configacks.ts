import type { Rule } from '../rule.js';

/** Nothing invalid, and no two on one base, are acknowledged; what was acknowledged is read back as it was sent. */
export const ConfigAcksRule: Rule = {
  name: 'CONFIG acks',
  check(e) {
    const acked = e.proposals.filter((p) => e.ruled.get(p.n)?.outcome === 'acked');
    const faults = acked.filter((p) => !p.valid).map((p) => `${p.n} is invalid and was acknowledged`);
    for (const p of acked)
      for (const q of acked) if (p.n < q.n && p.base === q.base) faults.push(`${p.n} and ${q.n} won over ${p.base}`);
    const last = e.of('readback').at(-1);
    const newest = Math.max(0, ...acked.map((p) => p.revision));
    if (!last || last.revision === null) faults.push('LOST: the configuration does not come');
    else if (last.revision < newest) faults.push(`LOST: ${last.revision} was read back, ${newest} was acknowledged`);
    else if (!e.proposals.some((p) => p.revision === last.revision && p.valid && p.routing.source === last.source))
      faults.push(`${last.revision} was read back as ${last.source}`);
    return { faults, looked: acked.length };
  },
};
