import type { Verdict, World } from '@pumicebarrow/forms';
import type { Budgets } from './budgets.js';
import type { Engine } from './engine.js';
import type { KeyRevocation } from './keyrevocation.js';
import type { KeptParts } from './keptparts.js';
import type { LoadBroker } from './loadbroker.js';
import type { LoadShedder } from './loadshedder.js';
import type { OutcomeCounters } from './outcomecounters.js';
import type { Pace } from './pace.js';
import type { Placement } from './placement.js';
import type { ReadWait } from './readwait.js';
import type { RequestLog } from './requestlog.js';
import type { Routes } from './routes.js';
import type { Server } from './server.js';
import type { ServerHealth } from './serverhealth.js';
import type { ServerListing } from './serverlisting.js';
import type { ServerLoads } from './serverloads.js';
import type { ServerSpeed } from './serverspeed.js';

/** What request handling depends on. */
export type ServeTools = {
  world: World;
  engine: Engine;
  /** Null while requests may be served; otherwise the verdict that explains why not. */
  unavailable: () => Verdict | null;
  /** Whether this daemon's knowledge of API keys is recent enough to rely on. */
  keysCurrent: () => boolean;
  revocation: ReturnType<typeof KeyRevocation.make>;
  /** Time in ms that this daemon has left for a request accepted now. */
  remainingLifetimeMs: () => number;
  /** The routes in force; null before the first configuration. */
  routes: () => Routes | null;
  serverList: ServerListing;
  loads: ReturnType<typeof ServerLoads.make>;
  loadAggregator: Pick<ReturnType<typeof LoadBroker.make>, 'refresh'>;
  health: ReturnType<typeof ServerHealth.make>;
  /** Estimates which prompt parts each server has cached. */
  kept: ReturnType<typeof KeptParts.make>;
  /** Measured prefill rate, in prompt tokens per ms. */
  pace: ReturnType<typeof Pace.make>;
  /** Measured slowdown of each server against the expected duration. */
  speed: ReturnType<typeof ServerSpeed.make>;
  /** Measured prefill wait beyond the expected one. */
  wait: ReturnType<typeof ReadWait.make>;
  placement: ReturnType<typeof Placement.make>;
  budgets: ReturnType<typeof Budgets.make>;
  /** Records the steps taken for requests. */
  log: ReturnType<typeof RequestLog.make>;
  /** One load shedder for each service. */
  shedders: { of(service: string): ReturnType<typeof LoadShedder.make> };
  counters: ReturnType<typeof OutcomeCounters.make>;
  /** Reports that a server failed a request of this daemon. */
  suspect: (server: Server, why: string) => void;
  /** Reports that a server rejected a request of this daemon. */
  turned: (server: Server) => void;
};
