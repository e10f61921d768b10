import type { DaemonStatus } from '@pumicebarrow/router';
import type { Daemon } from './daemon.js';
import type { FleetState } from './fleetstate.js';

type Told = FleetState & { wrong: readonly string[] };
const SECOND = 1000;
const long = (ms: number): string => (ms < 10 * SECOND ? `${Math.round(ms)} ms` : `${Math.round(ms / SECOND)} s`);
const since = (age: number, now: number): string =>
  `since ${new Date(now - age).toISOString().slice(0, 19)}Z (${long(age)})`;
const holds = (t: DaemonStatus, now: number): string => {
  const c = t.configuration;
  return c ? `revision ${c.revision} ${since(c.age, now)}` : 'no configuration';
};
const list = ({ mark, age, servers }: DaemonStatus['list']): string => {
  if (!mark) return 'no list';
  const old = age === null ? '' : `, ${long(age)} old`;
  return `list ${mark.join('.')} of ${servers} servers${old}`;
};
const daemon = (d: Daemon, now: number): string => {
  const name = `  ${d.id.padEnd(10)} ${d.role.padEnd(7)} ${d.zone.padEnd(8)} `;
  if (!d.told) return `${name}UNREACHABLE at ${d.addr}`;
  const state = `${d.told.state}${d.told.head ? ', head' : ''}`.padEnd(16);
  return `${name}${state} ${holds(d.told, now)}; ${list(d.told.list)}`;
};
const servers = (s: FleetState): string[] =>
  (s.servers ?? []).map((x) => {
    const order = s.orders.find((o) => o.server === x.id && !o.done);
    const who = s.daemons.filter((d) => d.told?.suspected.includes(x.id)).map((d) => d.id);
    const more = [
      ...(order ? [`ordered to ${order.stage} by ${order.by} under fence ${order.mark.join('.')}`] : []),
      ...(who.length > 0 ? [`under suspicion at ${who.join(', ')}`] : []),
    ];
    const row = [x.id.padEnd(12), x.service.padEnd(10), (x.stage ?? 'none').padEnd(8), x.zone.padEnd(8), x.state];
    return `  ${[row.join(' '), ...more].join('; ')}`;
  });
const stages = (s: FleetState): string => {
  const n = (stage: string): number => (s.servers ?? []).filter((x) => x.stage === stage && x.state === 'ready').length;
  return `${n('prefill')} read, ${n('decode')} decode, ${(s.servers ?? []).length} in all`;
};

/** The state of a routed fleet, so that a newcomer can read it. */
export const StatusLines = {
  of(s: Told, now: number): string[] {
    const head = s.daemons.find((d) => d.told?.head);
    const epoch = s.view ? `at epoch ${s.view.epoch}` : 'at an unknown epoch';
    const chain = s.view ? s.view.chain.map((m) => m.id).join(' > ') : 'unknown';
    const force = s.core?.routing ? `revision ${s.core.routing.revision} (version ${s.core.version})` : 'none';
    return [
      s.wrong.length === 0 ? 'The fleet is well.' : `The fleet is not well (${s.wrong.length}):`,
      ...s.wrong.map((w) => `  - ${w}`),
      `Head: ${head ? head.id : 'none'} ${epoch}, chain ${chain}.`,
      `Configuration in force: ${s.core ? force : 'unknown, the core does not reply'}.`,
      ...s.daemons.map((d) => daemon(d, now)),
      s.servers === null ? 'Servers: no list is held.' : `Servers: ${stages(s)}.`,
      ...servers(s),
    ];
  },
};
