import type { ListenerLimits } from './listenerlimits.js';
import type { MachineLimits } from './machinelimits.js';
import type { MetricFamily } from './metricfamily.js';
import { MemoryBudget } from './memorybudget.js';

/** Descriptors that are left to files. */
const FILE_DESCRIPTORS = 200;
const MIN_SOCKETS = 64;
/** Shares of the remaining descriptors. What is left of them is for connections to peers and the platform. */
const CLIENT_SHARE = 1 / 2;
const SERVER_SHARE = 3 / 16;
const PEER_SHARE = 1 / 8;
const OPERATOR_SHARE = 1 / 16;
/** Share for peers of a process that serves no clients. */
const PEER_SHARE_WITHOUT_CLIENTS = 1 / 2;
/** Share, and the most, of those who ask for readiness or metrics. */
const PROBE_SHARE = 1 / 64;
const MAX_PROBE_CONNECTIONS = 16;
/** What a process is taken to have that is not told what its machine allows. */
const UNKNOWN_MACHINE: MachineLimits = { memoryBytes: 1e9, descriptors: 4096 };
const MIN_CONNECTIONS = 4;
/** Shares of the memory: for bytes that peers make the process hold, for their connections, for one parsed document. */
const HELD_SHARE = 1 / 4;
const CONNECTION_SHARE = 1 / 8;
const JSON_SHARE = 1 / 8;
const MESSAGE_SHARE = 1 / 4;
/** What a connection takes even if nothing arrives on it. */
const CONNECTION_BYTES = 24 * 1024;

const sample = (name: string, help: string, kind: MetricFamily['kind'], value: number): MetricFamily => ({
  ...{ name, help, kind },
  samples: [{ labels: {}, value }],
});

/**
 * Divides a machine among all that a process listens for. Invariant: the sum over all listeners stays within the
 * descriptors and the memory that the machine allows, whatever arrives on each.
 */
export const ProcessLimits = {
  /** `daemons`: how many daemons, each with connections to peers and to model servers, are in the process. */
  of(machine: MachineLimits, { servesClients, daemons }: { servesClients: boolean; daemons: number }): ProcessLimits {
    const sockets = Math.max(MIN_SOCKETS, machine.descriptors - FILE_DESCRIPTORS);
    const affordable = (machine.memoryBytes * CONNECTION_SHARE) / CONNECTION_BYTES;
    const connections = (share: number): number =>
      Math.floor(Math.max(MIN_CONNECTIONS, Math.min(sockets * share, affordable)));
    const probes = Math.min(MAX_PROBE_CONNECTIONS, connections(PROBE_SHARE));
    const memory = MemoryBudget.make(machine.memoryBytes * HELD_SHARE);
    const listener = (maxConnections: number, jsonShare = JSON_SHARE): ListenerLimits => ({
      maxConnections,
      memory,
      maxJsonBytes: machine.memoryBytes * jsonShare,
    });
    return {
      clients: listener(connections(CLIENT_SHARE)),
      peers: listener(connections((servesClients ? PEER_SHARE : PEER_SHARE_WITHOUT_CLIENTS) / daemons), MESSAGE_SHARE),
      operators: listener(connections(OPERATOR_SHARE)),
      readiness: listener(probes),
      scrapers: listener(probes),
      maxServerConnections: connections(SERVER_SHARE / daemons),
      metrics: () => [
        sample(
          'held_bytes',
          'Memory that peers make this process hold, its estimate of the kernel included.',
          'gauge',
          memory.heldBytes(),
        ),
        sample('evictions_total', 'Connections closed because memory was short.', 'counter', memory.evictions()),
      ],
    };
  },
  ofUnknownMachine: () => ProcessLimits.of(UNKNOWN_MACHINE, { servesClients: false, daemons: 1 }),
};
export type ProcessLimits = {
  clients: ListenerLimits;
  peers: ListenerLimits;
  operators: ListenerLimits;
  readiness: ListenerLimits;
  scrapers: ListenerLimits;
  maxServerConnections: number;
  metrics: () => MetricFamily[];
};
