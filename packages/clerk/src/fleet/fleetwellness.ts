import type { Daemon } from './daemon.js';
import type { FleetState } from './fleetstate.js';

/** Routers poll the head about twice a second, so this is about four missed replies. */
const HEAD_SILENCE_LIMIT_MS = 2000;

const coreProblems = (s: FleetState): string[] => {
  const heads = s.daemons.filter((d) => d.told?.head);
  const problems: string[] = [];
  if (s.core === null) problems.push('the core does not reply: no configuration can change');
  if (heads.length === 0)
    problems.push('no control replica speaks as the head: no list goes round, and no stage can change');
  if (heads.length > 1) problems.push(`${heads.map((h) => h.id).join(' and ')} both say that they are the head`);
  const outOfChain = (s.view?.voters ?? []).filter((v) => !s.view!.chain.some((m) => m.id === v.id));
  return [...problems, ...outOfChain.map((v) => `control replica ${v.id} is out of the chain`)];
};
const serviceProblems = (s: FleetState): string[] => {
  if (s.core && !s.core.routing) return ['there is no configuration: plan and confirm one'];
  if (s.servers === null) return ['no daemon holds a list of the servers'];
  const ready = s.servers.filter((x) => x.state === 'ready');
  return (s.core?.routing?.services ?? []).flatMap(({ name, engine }) => {
    const ownServers = ready.filter((x) => x.service === name);
    if (ownServers.length === 0) return [`service ${name} has no server that is ready`];
    if (!engine) return [];
    return (['prefill', 'decode'] as const)
      .filter((stage) => !ownServers.some((x) => x.stage === stage))
      .map((stage) => `service ${name} has no server at ${stage}`);
  });
};
const suspectedServers = (s: FleetState): string[] => {
  const reporters = new Map<string, string[]>();
  for (const d of s.daemons)
    for (const id of d.told?.suspected ?? []) reporters.set(id, [...(reporters.get(id) ?? []), d.id]);
  return [...reporters].map(([id, daemonIds]) => `server ${id} is under suspicion at ${daemonIds.join(', ')}`);
};
const daemonProblems = (s: FleetState, d: Daemon): string[] => {
  const status = d.told;
  if (!status) return [`${d.role} ${d.id} can not be reached`];
  if (!status.sure && d.role === 'keeper')
    return [`control replica ${d.id} has no claim on the chain, and says nothing`];
  if (!status.sure) return [`router ${d.id} is learning the newest configuration, and refuses requests`];
  const problems: string[] = [];
  const configuration = status.configuration;
  if (s.core && (configuration?.version ?? 0) < s.core.version) {
    const newest = s.core.routing?.revision ?? 0;
    problems.push(
      `${d.role} ${d.id} holds ${configuration ? `revision ${configuration.revision}` : 'no configuration'}, not ${newest}`,
    );
  }
  if (d.role === 'router' && status.state !== 'draining') {
    if (status.silent === null) problems.push(`router ${d.id} has not heard from the head yet`);
    else if (status.silent > HEAD_SILENCE_LIMIT_MS)
      problems.push(`router ${d.id} heard last from the head ${Math.round(status.silent)} ms ago`);
  }
  if (!status.list.young)
    problems.push(`${d.role} ${d.id} has too old a list of the servers: requests are refused there`);
  return problems;
};

/** Lists the problems of a routed fleet as messages, most severe first; empty if the fleet is healthy. */
export const RoutedFleetHealth = {
  problems: (s: FleetState): string[] => [
    ...coreProblems(s),
    ...serviceProblems(s),
    ...suspectedServers(s),
    ...s.daemons.flatMap((d) => daemonProblems(s, d)),
  ],
};
