import { FleetConfiguration } from './fleetconfiguration.js';
import { SchemaCheck } from './schemacheck.js';
import { Err } from './err.js';
import type { Fault } from './fault.js';
import type { Configuration } from './configuration.js';
import { Configurations } from './configurations.js';
import { LendingValidator } from './lendingvalidator.js';
import { Ok } from './ok.js';
import type { Result } from './result.js';
import { RoutingValidator } from './routingvalidator.js';
import { Routing } from './routing.js';

const duplicates = (names: readonly string[], path: (i: number) => string): Fault[] =>
  names.flatMap((name, i) => (names.indexOf(name) < i ? [{ path: path(i), why: `names ${name} again` }] : []));

/** Validates a configuration of either form: first against its schema, then for references between its parts. */
export const ConfigurationValidator = {
  parse(v: unknown): Result<Configuration, Fault[]> {
    const parsed: Result<Configuration, Fault[]> = Configurations.isRouting(v)
      ? SchemaCheck.parse(Routing, v)
      : SchemaCheck.parse(FleetConfiguration, v);
    if (parsed.err) return parsed;
    const faults = ConfigurationValidator.faults(parsed.val);
    return faults.length > 0 ? Err(faults) : Ok(parsed.val);
  },
  /** The faults of a configuration that matches its schema. */
  faults(c: Configuration): Fault[] {
    return 'routes' in c ? RoutingValidator.faults(c) : ConfigurationValidator.fleetFaults(c);
  },
  /** The faults of a `FleetConfiguration` that matches its schema. */
  fleetFaults(c: FleetConfiguration): Fault[] {
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
          why: `asks for ${c.casting.floor[stage]} but ${capable(stage)} servers can ${stage}`,
        });
    }
    if (c.casting.floor.prefill + c.casting.floor.decode > c.servers.length) {
      faults.push({ path: '/casting/floor', why: 'asks for more servers than there are' });
    }
    if (c.casting.prefill < c.casting.floor.prefill)
      faults.push({ path: '/casting/prefill', why: 'is below its floor' });
    if (c.servers.length - c.casting.prefill < c.casting.floor.decode)
      faults.push({ path: '/casting/prefill', why: 'leaves decode below its floor' });
    return [...faults, ...LendingValidator.faults(c)];
  },
};
