import { Configurations, type FleetConfiguration, type Configuration } from '@pumicebarrow/forms';

type InUse = { server: string; part: string; stage: string };
/** A limit that falls below this fraction of its old value gets a warning. */
const LARGE_REDUCTION_FRACTION = 0.5;
const totalSlots = (configuration: FleetConfiguration): number =>
  configuration.servers.reduce((n, s) => n + s.slots, 0);
const reductionPercent = (before: number, after: number): string => `${Math.round((100 * (before - after)) / before)}%`;

const capacityWarnings = (before: FleetConfiguration, after: FleetConfiguration): string[] => {
  const warnings: string[] = [];
  const [oldSlots, newSlots] = [totalSlots(before), totalSlots(after)];
  if (newSlots < oldSlots * LARGE_REDUCTION_FRACTION)
    warnings.push(
      `it takes away ${reductionPercent(oldSlots, newSlots)} of the fleet's slots (${oldSlots} to ${newSlots})`,
    );
  for (const rule of before.rules) {
    const next = after.rules.find((x) => x.name === rule.name);
    if (!next) warnings.push(`requests of the rule ${rule.name} will be bounced: it goes`);
    else if (next.limit < rule.limit * LARGE_REDUCTION_FRACTION)
      warnings.push(`the rule ${rule.name} lets in ${reductionPercent(rule.limit, next.limit)} fewer requests at once`);
  }
  return warnings;
};
const serverWarnings = (before: FleetConfiguration, after: FleetConfiguration, rows: readonly InUse[]): string[] => {
  const removed = before.servers.filter((s) => !after.servers.some((x) => x.id === s.id));
  const added = after.servers.filter((s) => !before.servers.some((x) => x.id === s.id));
  const removedInUse = removed.filter((s) => rows.some((r) => r.server === s.id && r.stage === 'serving'));
  const warnings = removedInUse.map((s) => `server ${s.id} is in use, and no request will go to it any more`);
  for (const server of removedInUse) {
    const replacement = added.find((x) => x.site === server.site && x.part === server.part && x.slots === server.slots);
    if (replacement)
      warnings.push(`${server.id} seems to be renamed to ${replacement.id}: the platform must list it under that name`);
  }
  return warnings;
};
const stageWarnings = (after: FleetConfiguration, rows: readonly InUse[]): string[] =>
  after.servers.flatMap((server) => {
    const row = rows.find((r) => r.server === server.id && r.stage === 'serving');
    return row && server.part !== 'either' && server.part !== row.part
      ? [`server ${server.id} is to ${row.part} now, and will be emptied to ${server.part}`]
      : [];
  });

/** Warns if capacity is newly lent or no longer reserved, and names the rules whose bursts stop. */
const lendingWarnings = (before: FleetConfiguration, after: FleetConfiguration): string[] => {
  const warnings: string[] = [],
    [oldTerms, newTerms] = [before.lending, after.lending];
  for (const stage of ['prefill', 'decode'] as const) {
    if (newTerms && newTerms.most[stage] > (oldTerms?.most[stage] ?? 0))
      warnings.push(
        `up to ${Math.round(newTerms.most[stage] * 100)}% of the slots that ${stage} may be lent to bursts`,
      );
    if (oldTerms && newTerms && newTerms.keep[stage] < oldTerms.keep[stage])
      warnings.push(
        `only ${newTerms.keep[stage]} slots that ${stage} are kept for live work (${oldTerms.keep[stage]} before)`,
      );
  }
  for (const rule of oldTerms?.rules ?? [])
    if (!newTerms?.rules.includes(rule)) warnings.push(`bursts of the rule ${rule} borrow no more, and come to rest`);
  return warnings;
};

/** Parts of a plan that an operator should check, as sentences. Warnings never block a plan. */
export const ConfigurationWarnings = {
  of(before: Configuration | null, after: Configuration, rows: readonly InUse[]): string[] {
    const oldConfiguration = Configurations.asFleet(before),
      newConfiguration = Configurations.asFleet(after);
    return !oldConfiguration || !newConfiguration
      ? []
      : [
          ...capacityWarnings(oldConfiguration, newConfiguration),
          ...serverWarnings(oldConfiguration, newConfiguration, rows),
          ...stageWarnings(newConfiguration, rows),
          ...lendingWarnings(oldConfiguration, newConfiguration),
        ];
  },
};
