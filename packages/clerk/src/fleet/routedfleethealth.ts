import type { Daemon } from './daemon.js';
import type { FleetState } from './fleetstate.js';

/**
 * A router that has not heard from the head for longer than this is reported. Routers poll the head about twice a
 * second.
 */
const HEAD_SILENCE_LIMIT_MS = 2000;

const coreProblems = (fleet: FleetState): string[] => {
  const heads = fleet.daemons.filter((d) => d.told?.head);
  const problems: string[] = [];
  if (fleet.core === null) problems.push('the core does not reply: no configuration can change');
  if (heads.length === 0)
    problems.push('no control replica speaks as the head: no list goes round, and no stage can change');
  if (heads.length > 1) problems.push(`${heads.map((h) => h.id).join(' and ')} both say that they are the head`);
  const outOfChain = (fleet.view?.voters ?? []).filter((v) => !fleet.view!.chain.some((m) => m.id === v.id));
  return [...problems, ...outOfChain.map((v) => `control replica ${v.id} is out of the chain`)];
};
const serviceProblems = (fleet: FleetState): string[] => {
  if (fleet.core && !fleet.core.routing) return ['there is no configuration: plan and confirm one'];
  if (fleet.servers === null) return ['no daemon holds a list of the servers'];
  const ready = fleet.servers.filter((x) => x.state === 'ready');
  return (fleet.core?.routing?.services ?? []).flatMap(({ name, engine }) => {
    const ownServers = ready.filter((x) => x.service === name);
    if (ownServers.length === 0) return [`service ${name} has no server that is ready`];
    if (!engine) return [];
    return (['prefill', 'decode'] as const)
      .filter((stage) => !ownServers.some((x) => x.stage === stage))
      .map((stage) => `service ${name} has no server at ${stage}`);
  });
};
const suspectedServers = (fleet: FleetState): string[] => {
  const reporters = new Map<string, string[]>();
  for (const d of fleet.daemons)
    for (const id of d.told?.suspected ?? []) reporters.set(id, [...(reporters.get(id) ?? []), d.id]);
  return [...reporters].map(([id, daemonIds]) => `server ${id} is under suspicion at ${daemonIds.join(', ')}`);
};
const daemonProblems = (fleet: FleetState, daemon: Daemon): string[] => {
  const status = daemon.told;
  if (!status) return [`${daemon.role} ${daemon.id} can not be reached`];
  if (!status.sure && daemon.role === 'keeper')
    return [`control replica ${daemon.id} holds no lease or no committed state, and does not answer`];
  if (!status.sure) return [`router ${daemon.id} is learning the newest configuration, and refuses requests`];
  const problems: string[] = [];
  const held = status.configuration;
  if (fleet.core && (held?.version ?? 0) < fleet.core.version) {
    const newest = fleet.core.routing?.revision ?? 0;
    problems.push(
      `${daemon.role} ${daemon.id} holds ${held ? `revision ${held.revision}` : 'no configuration'}, not ${newest}`,
    );
  }
  if (daemon.role === 'router' && status.state !== 'draining') {
    if (status.silent === null) problems.push(`router ${daemon.id} has not heard from the head yet`);
    else if (status.silent > HEAD_SILENCE_LIMIT_MS)
      problems.push(`router ${daemon.id} heard last from the head ${Math.round(status.silent)} ms ago`);
  }
  if (!status.list.young)
    problems.push(`${daemon.role} ${daemon.id} has too old a list of the servers: requests are refused there`);
  return problems;
};

/** Lists the problems of a routed fleet as messages, most severe first; empty if the fleet is healthy. */
export const RoutedFleetHealth = {
  problems: (fleet: FleetState): string[] => [
    ...coreProblems(fleet),
    ...serviceProblems(fleet),
    ...suspectedServers(fleet),
    ...fleet.daemons.flatMap((d) => daemonProblems(fleet, d)),
  ],
};
