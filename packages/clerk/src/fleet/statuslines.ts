import type { DaemonStatus } from '@pumicebarrow/router';
import type { Daemon } from './daemon.js';
import type { FleetState } from './fleetstate.js';

type CheckedFleetState = FleetState & { wrong: readonly string[] };
/** One second in ms. */
const SECOND = 1000;
const formatMs = (ms: number): string => (ms < 10 * SECOND ? `${Math.round(ms)} ms` : `${Math.round(ms / SECOND)} s`);
const formatSince = (age: number, now: number): string =>
  `since ${new Date(now - age).toISOString().slice(0, 19)}Z (${formatMs(age)})`;
const formatConfiguration = (t: DaemonStatus, now: number): string => {
  const c = t.configuration;
  return c ? `revision ${c.revision} ${formatSince(c.age, now)}` : 'no configuration';
};
const formatServerList = ({ mark, age, servers }: DaemonStatus['list']): string => {
  if (!mark) return 'no list';
  const ageText = age === null ? '' : `, ${formatMs(age)} old`;
  return `list ${mark.join('.')} of ${servers} servers${ageText}`;
};
const formatDaemon = (d: Daemon, now: number): string => {
  const name = `  ${d.id.padEnd(10)} ${d.role.padEnd(7)} ${d.zone.padEnd(8)} `;
  if (!d.told) return `${name}UNREACHABLE at ${d.addr}`;
  const state = `${d.told.state}${d.told.head ? ', head' : ''}`.padEnd(16);
  return `${name}${state} ${formatConfiguration(d.told, now)}; ${formatServerList(d.told.list)}`;
};
const formatServers = (s: FleetState): string[] =>
  (s.servers ?? []).map((x) => {
    const order = s.orders.find((o) => o.server === x.id && !o.done);
    const suspectingDaemons = s.daemons.filter((d) => d.told?.suspected.includes(x.id)).map((d) => d.id);
    const notes = [
      ...(order ? [`ordered to ${order.stage} by ${order.by} under fence ${order.mark.join('.')}`] : []),
      ...(suspectingDaemons.length > 0 ? [`under suspicion at ${suspectingDaemons.join(', ')}`] : []),
    ];
    const row = [x.id.padEnd(12), x.service.padEnd(10), (x.stage ?? 'none').padEnd(8), x.zone.padEnd(8), x.state];
    return `  ${[row.join(' '), ...notes].join('; ')}`;
  });
const formatStageCounts = (s: FleetState): string => {
  const readyCount = (stage: string): number =>
    (s.servers ?? []).filter((x) => x.stage === stage && x.state === 'ready').length;
  return `${readyCount('prefill')} read, ${readyCount('decode')} decode, ${(s.servers ?? []).length} in all`;
};

/** Formats the state of a routed fleet for `clerk status`. */
export const StatusReport = {
  formatLines(s: CheckedFleetState, now: number): string[] {
    const head = s.daemons.find((d) => d.told?.head);
    const epoch = s.view ? `at epoch ${s.view.epoch}` : 'at an unknown epoch';
    const chain = s.view ? s.view.chain.map((m) => m.id).join(' > ') : 'unknown';
    const inForce = s.core?.routing ? `revision ${s.core.routing.revision} (version ${s.core.version})` : 'none';
    return [
      s.wrong.length === 0 ? 'The fleet is well.' : `The fleet is not well (${s.wrong.length}):`,
      ...s.wrong.map((w) => `  - ${w}`),
      `Head: ${head ? head.id : 'none'} ${epoch}, chain ${chain}.`,
      `Configuration in force: ${s.core ? inForce : 'unknown, the core does not reply'}.`,
      ...s.daemons.map((d) => formatDaemon(d, now)),
      s.servers === null ? 'Servers: no list is held.' : `Servers: ${formatStageCounts(s)}.`,
      ...formatServers(s),
    ];
  },
};
