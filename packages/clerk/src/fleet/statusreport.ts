import type { DaemonStatus } from '@pumicebarrow/router';
import type { Daemon } from './daemon.js';
import type { FleetState } from './fleetstate.js';

type CheckedFleetState = FleetState & { wrong: readonly string[] };
/** One second in ms. */
const SECOND = 1000;
const formatMs = (ms: number): string => (ms < 10 * SECOND ? `${Math.round(ms)} ms` : `${Math.round(ms / SECOND)} s`);
const formatSince = (age: number, now: number): string =>
  `since ${new Date(now - age).toISOString().slice(0, 19)}Z (${formatMs(age)})`;
const formatConfiguration = (status: DaemonStatus, now: number): string => {
  const configuration = status.configuration;
  return configuration
    ? `revision ${configuration.revision} ${formatSince(configuration.age, now)}`
    : 'no configuration';
};
const formatServerList = ({ mark, age, servers }: DaemonStatus['list']): string => {
  if (!mark) return 'no list';
  const ageText = age === null ? '' : `, ${formatMs(age)} old`;
  return `list ${mark.join('.')} of ${servers} servers${ageText}`;
};
const formatDaemon = (daemon: Daemon, now: number): string => {
  const name = `  ${daemon.id.padEnd(10)} ${daemon.role.padEnd(7)} ${daemon.zone.padEnd(8)} `;
  if (!daemon.told) return `${name}UNREACHABLE at ${daemon.addr}`;
  const state = `${daemon.told.state}${daemon.told.head ? ', head' : ''}`.padEnd(16);
  return `${name}${state} ${formatConfiguration(daemon.told, now)}; ${formatServerList(daemon.told.list)}`;
};
const formatServers = (fleet: FleetState): string[] =>
  (fleet.servers ?? []).map((server) => {
    const order = fleet.orders.find((o) => o.server === server.id && !o.done);
    const suspectingDaemons = fleet.daemons.filter((d) => d.told?.suspected.includes(server.id)).map((d) => d.id);
    const notes = [
      ...(order ? [`ordered to ${order.stage} by ${order.by} under fence ${order.mark.join('.')}`] : []),
      ...(suspectingDaemons.length > 0 ? [`under suspicion at ${suspectingDaemons.join(', ')}`] : []),
    ];
    const row = [
      server.id.padEnd(12),
      server.service.padEnd(10),
      (server.stage ?? 'none').padEnd(8),
      server.zone.padEnd(8),
      server.state,
    ];
    return `  ${[row.join(' '), ...notes].join('; ')}`;
  });
const formatStageCounts = (fleet: FleetState): string => {
  const readyCount = (stage: string): number =>
    (fleet.servers ?? []).filter((x) => x.stage === stage && x.state === 'ready').length;
  return `${readyCount('prefill')} read, ${readyCount('decode')} decode, ${(fleet.servers ?? []).length} in all`;
};

/** Formats the state of a routed fleet for `clerk status`. */
export const StatusReport = {
  formatLines(fleet: CheckedFleetState, now: number): string[] {
    const head = fleet.daemons.find((d) => d.told?.head);
    const epoch = fleet.view ? `at epoch ${fleet.view.epoch}` : 'at an unknown epoch';
    const chain = fleet.view ? fleet.view.chain.map((m) => m.id).join(' > ') : 'unknown';
    const inForce = fleet.core?.routing
      ? `revision ${fleet.core.routing.revision} (version ${fleet.core.version})`
      : 'none';
    return [
      fleet.wrong.length === 0 ? 'The fleet is well.' : `The fleet is not well (${fleet.wrong.length}):`,
      ...fleet.wrong.map((w) => `  - ${w}`),
      `Head: ${head ? head.id : 'none'} ${epoch}, chain ${chain}.`,
      `Configuration in force: ${fleet.core ? inForce : 'unknown, the core does not reply'}.`,
      ...fleet.daemons.map((d) => formatDaemon(d, now)),
      fleet.servers === null ? 'Servers: no list is held.' : `Servers: ${formatStageCounts(fleet)}.`,
      ...formatServers(fleet),
    ];
  },
};
