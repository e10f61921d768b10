import { Charter } from './charter.js';
import { Check } from './check.js';
import { Err } from './err.js';
import type { Fault } from './fault.js';
import type { Intent } from './intent.js';
import { Intents } from './intents.js';
import { LendingValidator } from './lendingclauses.js';
import { Ok } from './ok.js';
import type { Result } from './result.js';
import { RoutingValidator } from './routingclauses.js';
import { Routing } from './routing.js';

const duplicates = (names: readonly string[], path: (i: number) => string): Fault[] =>
  names.flatMap((name, i) => (names.indexOf(name) < i ? [{ path: path(i), why: `names ${name} again` }] : []));

/** Validates a configuration of either form: first against its schema, then for references between its parts. */
export const Clauses = {
  read(v: unknown): Result<Intent, Fault[]> {
    const parsed: Result<Intent, Fault[]> = Intents.isRouting(v) ? Check.parse(Routing, v) : Check.parse(Charter, v);
    if (parsed.err) return parsed;
    const faults = Clauses.faults(parsed.val);
    return faults.length > 0 ? Err(faults) : Ok(parsed.val);
  },
  /** The faults of a configuration that matches its schema. */
  faults(c: Intent): Fault[] {
    return 'routes' in c ? RoutingValidator.faults(c) : Clauses.fleetFaults(c);
  },
  /** The faults of a `FleetConfiguration` that matches its schema. */
  fleetFaults(c: Charter): Fault[] {
    const faults: Fault[] = [
      ...duplicates(c.sites, (i) => `/sites/${i}`),
      ...duplicates(
        c.rules.map((r) => r.name),
        (i) => `/rules/${i}/name`,
      ),
      ...duplicates(
        c.servers.map((s) => s.id),
        (i) => `/servers/${i}/id`,
      ),
    ];
    c.rules.forEach((r, i) =>
      r.sites?.forEach((zone, j) => {
        if (!c.sites.includes(zone))
          faults.push({ path: `/rules/${i}/sites/${j}`, why: `names the unknown zone ${zone}` });
      }),
    );
    c.servers.forEach((s, i) => {
      if (!c.sites.includes(s.site))
        faults.push({ path: `/servers/${i}/site`, why: `names the unknown zone ${s.site}` });
    });
    if (c.fallback !== undefined && !c.rules.some((r) => r.name === c.fallback)) {
      faults.push({ path: '/fallback', why: `names the unknown rule ${c.fallback}` });
    }
    const capable = (stage: string): number => c.servers.filter((s) => s.part === stage || s.part === 'either').length;
    for (const stage of ['prefill', 'decode'] as const) {
      if (capable(stage) < c.casting.floor[stage])
        faults.push({
          path: `/casting/floor/${stage}`,
          why: `requires ${c.casting.floor[stage]} servers but only ${capable(stage)} can run ${stage}`,
        });
    }
    if (c.casting.floor.prefill + c.casting.floor.decode > c.servers.length) {
      faults.push({ path: '/casting/floor', why: 'requires more servers than are listed' });
    }
    if (c.casting.prefill < c.casting.floor.prefill)
      faults.push({ path: '/casting/prefill', why: 'is below the floor of prefill' });
    if (c.servers.length - c.casting.prefill < c.casting.floor.decode)
      faults.push({ path: '/casting/prefill', why: 'leaves decode below its floor' });
    return [...faults, ...LendingValidator.faults(c)];
  },
};
