import { Charter } from './charter.js';
import { Check } from './check.js';
import { Err } from './err.js';
import type { Fault } from './fault.js';
import type { Intent } from './intent.js';
import { Intents } from './intents.js';
import { LendingClauses } from './lendingclauses.js';
import { Ok } from './ok.js';
import type { Result } from './result.js';
import { RoutingClauses } from './routingclauses.js';
import { Routing } from './routing.js';

const twice = (list: readonly string[], path: (i: number) => string): Fault[] =>
  list.flatMap((s, i) => (list.indexOf(s) < i ? [{ path: path(i), why: `names ${s} again` }] : []));

/** Reads an intent whole, in the shape that it has: its shape first, then what its parts say of each other. */
export const Clauses = {
  read(v: unknown): Result<Intent, Fault[]> {
    const got: Result<Intent, Fault[]> = Intents.routes(v) ? Check.parse(Routing, v) : Check.parse(Charter, v);
    if (got.err) return got;
    const list = Clauses.faults(got.val);
    return list.length > 0 ? Err(list) : Ok(got.val);
  },
  faults(c: Intent): Fault[] {
    return 'routes' in c ? RoutingClauses.faults(c) : Clauses.rules(c);
  },
  rules(c: Charter): Fault[] {
    const out: Fault[] = [
      ...twice(c.sites, (i) => `/sites/${i}`),
      ...twice(
        c.rules.map((r) => r.name),
        (i) => `/rules/${i}/name`,
      ),
      ...twice(
        c.servers.map((s) => s.id),
        (i) => `/servers/${i}/id`,
      ),
    ];
    c.rules.forEach((r, i) =>
      r.sites?.forEach((s, j) => {
        if (!c.sites.includes(s)) out.push({ path: `/rules/${i}/sites/${j}`, why: `names the unknown zone ${s}` });
      }),
    );
    c.servers.forEach((s, i) => {
      if (!c.sites.includes(s.site)) out.push({ path: `/servers/${i}/site`, why: `names the unknown zone ${s.site}` });
    });
    if (c.fallback !== undefined && !c.rules.some((r) => r.name === c.fallback)) {
      out.push({ path: '/fallback', why: `names the unknown rule ${c.fallback}` });
    }
    const can = (p: string): number => c.servers.filter((s) => s.part === p || s.part === 'either').length;
    for (const p of ['prefill', 'decode'] as const) {
      if (can(p) < c.casting.floor[p])
        out.push({ path: `/casting/floor/${p}`, why: `asks for ${c.casting.floor[p]} but ${can(p)} servers can ${p}` });
    }
    if (c.casting.floor.prefill + c.casting.floor.decode > c.servers.length) {
      out.push({ path: '/casting/floor', why: 'asks for more servers than there are' });
    }
    if (c.casting.prefill < c.casting.floor.prefill) out.push({ path: '/casting/prefill', why: 'is below its floor' });
    if (c.servers.length - c.casting.prefill < c.casting.floor.decode)
      out.push({ path: '/casting/prefill', why: 'leaves decode below its floor' });
    return [...out, ...LendingClauses.faults(c)];
  },
};
