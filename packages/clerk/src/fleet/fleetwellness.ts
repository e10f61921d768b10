import type { Daemon } from './daemon.js';
import type { FleetState } from './fleetstate.js';

/** ms without a word from the head, where routers ask it about twice a second. */
const SILENT = 2000;

const core = (s: FleetState): string[] => {
  const heads = s.daemons.filter((d) => d.told?.head);
  const out: string[] = [];
  if (s.core === null) out.push('the core does not reply: no configuration can change');
  if (heads.length === 0)
    out.push('no control replica speaks as the head: no list goes round, and no stage can change');
  if (heads.length > 1) out.push(`${heads.map((h) => h.id).join(' and ')} both say that they are the head`);
  const gone = (s.view?.voters ?? []).filter((v) => !s.view!.chain.some((m) => m.id === v.id));
  return [...out, ...gone.map((v) => `control replica ${v.id} is out of the chain`)];
};
const services = (s: FleetState): string[] => {
  if (s.core && !s.core.routing) return ['there is no configuration: plan and confirm one'];
  if (s.servers === null) return ['no daemon holds a list of the servers'];
  const ready = s.servers.filter((x) => x.state === 'ready');
  return (s.core?.routing?.services ?? []).flatMap(({ name, engine }) => {
    const own = ready.filter((x) => x.service === name);
    if (own.length === 0) return [`service ${name} has no server that is ready`];
    if (!engine) return [];
    return (['prefill', 'decode'] as const)
      .filter((stage) => !own.some((x) => x.stage === stage))
      .map((stage) => `service ${name} has no server at ${stage}`);
  });
};
const suspects = (s: FleetState): string[] => {
  const by = new Map<string, string[]>();
  for (const d of s.daemons) for (const id of d.told?.suspected ?? []) by.set(id, [...(by.get(id) ?? []), d.id]);
  return [...by].map(([id, who]) => `server ${id} is under suspicion at ${who.join(', ')}`);
};
const daemon = (s: FleetState, d: Daemon): string[] => {
  const t = d.told;
  if (!t) return [`${d.role} ${d.id} can not be reached`];
  if (!t.sure && d.role === 'keeper') return [`control replica ${d.id} has no claim on the chain, and says nothing`];
  if (!t.sure) return [`router ${d.id} is learning the newest configuration, and refuses requests`];
  const out: string[] = [];
  const held = t.configuration;
  if (s.core && (held?.version ?? 0) < s.core.version) {
    const newest = s.core.routing?.revision ?? 0;
    out.push(`${d.role} ${d.id} holds ${held ? `revision ${held.revision}` : 'no configuration'}, not ${newest}`);
  }
  if (d.role === 'router' && t.state !== 'draining') {
    if (t.silent === null) out.push(`router ${d.id} has not heard from the head yet`);
    else if (t.silent > SILENT) out.push(`router ${d.id} heard last from the head ${Math.round(t.silent)} ms ago`);
  }
  if (!t.list.young) out.push(`${d.role} ${d.id} has too old a list of the servers: requests are refused there`);
  return out;
};

/** Why a routed fleet is not well, in plain words, the gravest first; nothing when it is. */
export const FleetWellness = {
  wrong: (s: FleetState): string[] => [
    ...core(s),
    ...services(s),
    ...suspects(s),
    ...s.daemons.flatMap((d) => daemon(s, d)),
  ],
};
