import type { FleetConfiguration } from '@pumicebarrow/forms';
import type { StageAssignment, View } from '@pumicebarrow/registry';

/** What a daemon reported; `sure` is whether it knows that its configuration is current. */
type Daemon = { id: string; role: string; reached: boolean; sure: boolean; version: number | null };
type Snapshot = {
  /** Version of the configuration at the tail of the chain; null if no control replica replied. */
  version: number | null;
  view: View | null;
  daemons: readonly Daemon[];
  rows: readonly StageAssignment[];
  configuration: FleetConfiguration | null;
  /** Servers that the platform lists as serving; null if there is no recent list. */
  listed: readonly { id: string; born: string }[] | null;
};

const coreProblems = (fleet: Snapshot): string[] => {
  if (fleet.version === null) return ['the core does not reply: no charter, claim or order can change'];
  const outside = (fleet.view?.voters ?? []).filter((v) => !fleet.view!.chain.some((m) => m.id === v.id));
  return outside.map((v) => `core ${v.id} is out of the chain`);
};
const daemonProblems = (fleet: Snapshot, daemon: Daemon): string[] => {
  if (!daemon.reached) return [`${daemon.id} can not be reached`];
  if (!daemon.sure && daemon.role === 'registry') return [`${daemon.id} has no claim on the chain, and says nothing`];
  if (!daemon.sure) return [`${daemon.id} can not tell its charter yet, and lets nothing in`];
  if (fleet.version !== null && (daemon.version ?? 0) < fleet.version)
    return [`${daemon.id} holds charter ${daemon.version ?? 'none'}, not ${fleet.version}`];
  return [];
};
const serverProblems = (fleet: Snapshot): string[] => {
  if (fleet.configuration === null) return ['there is no charter: plan and confirm one'];
  if (fleet.listed === null) return ["the platform's list is away or old: requests are bounced"];
  const listed = fleet.listed;
  return fleet.configuration.servers.flatMap(({ id }) => {
    const server = listed.find((l) => l.id === id),
      row = fleet.rows.find((r) => r.server === id);
    if (!server) return [`server ${id} is not listed as serving`];
    if (!row || row.born !== server.born) return [`server ${id} has not been ordered yet in its present life`];
    return row.stage === 'dark' ? [`server ${id} is dark`] : [];
  });
};
const floorProblems = (fleet: Snapshot): string[] => {
  if (fleet.configuration === null || fleet.listed === null) return [];
  return (['prefill', 'decode'] as const).flatMap((stage) => {
    const serving = fleet.rows.filter((r) => r.part === stage && r.stage === 'serving').length,
      floor = fleet.configuration!.casting.floor[stage];
    return serving < floor ? [`${serving} servers ${stage}, fewer than the floor of ${floor}`] : [];
  });
};

/** The problems of the fleet in plain words, the gravest first; none if it is healthy. */
export const FleetHealth = {
  problems: (fleet: Snapshot): string[] => [
    ...coreProblems(fleet),
    ...floorProblems(fleet),
    ...serverProblems(fleet),
    ...fleet.daemons.flatMap((d) => daemonProblems(fleet, d)),
  ],
};
