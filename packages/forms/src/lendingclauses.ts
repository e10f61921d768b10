import type { Charter } from './charter.js';
import type { Fault } from './fault.js';

/** Answers of a burst are kept by the core, so they are short. */
const LONGEST = 256;

/** What a charter's lending says of the rest of it. */
export const LendingClauses = {
  faults(c: Charter): Fault[] {
    const l = c.lending;
    if (!l) return [];
    const live = c.rules.filter((r) => !l.rules.includes(r.name));
    const least = Math.min(...live.map((r) => r.urgency));
    const out = l.rules.flatMap((name, i): Fault[] => {
      const path = `/lending/rules/${i}`,
        rule = c.rules.find((r) => r.name === name);
      if (l.rules.indexOf(name) < i) return [{ path, why: `names ${name} again` }];
      if (!rule) return [{ path, why: `names the unknown rule ${name}` }];
      if (name === c.fallback) return [{ path, why: `names ${name}, which requests that name none fall back to` }];
      if (rule.urgency >= least) return [{ path, why: `${name} is not less urgent than every rule of live work` }];
      if (rule.pieces > LONGEST) return [{ path, why: `${name} has answers of more than ${LONGEST} pieces` }];
      return [];
    });
    if (live.length === 0) out.push({ path: '/lending/rules', why: 'leaves no rule for live work' });
    for (const p of ['prefill', 'decode'] as const) {
      const all = c.servers.filter((s) => s.part === p || s.part === 'either').reduce((n, s) => n + s.slots, 0);
      if (l.keep[p] > all)
        out.push({ path: `/lending/keep/${p}`, why: `keeps ${l.keep[p]} but servers that can ${p} have ${all} slots` });
    }
    return out;
  },
};
