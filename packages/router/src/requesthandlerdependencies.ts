import type { Verdict, World } from '@pumicebarrow/forms';
import type { RetryBudgets } from './retrybudgets.js';
import type { ModelServerClient } from './modelserverclient.js';
import type { KeyRevocation } from './keyrevocation.js';
import type { PrefixCacheEstimate } from './prefixcacheestimate.js';
import type { LoadAggregatorClient } from './loadaggregatorclient.js';
import type { LoadShedder } from './loadshedder.js';
import type { OutcomeCounters } from './outcomecounters.js';
import type { PrefillRate } from './prefillrate.js';
import type { Placement } from './placement.js';
import type { UnexpectedPrefillWait } from './unexpectedprefillwait.js';
import type { RequestLog } from './requestlog.js';
import type { Routes } from './routes.js';
import type { Server } from './server.js';
import type { ServerHealth } from './serverhealth.js';
import type { ServerListing } from './serverlisting.js';
import type { ServerLoads } from './serverloads.js';
import type { ServerSlowdown } from './serverslowdown.js';

/** What request handling depends on. */
export type RequestHandlerDependencies = {
  world: World;
  engine: ModelServerClient;
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
  loadAggregator: Pick<ReturnType<typeof LoadAggregatorClient.make>, 'refresh'>;
  health: ReturnType<typeof ServerHealth.make>;
  /** Estimates which prompt parts each server has cached. */
  prefixCache: ReturnType<typeof PrefixCacheEstimate.make>;
  /** Measured prefill rate, in prompt tokens per ms. */
  prefillRate: ReturnType<typeof PrefillRate.make>;
  /** Measured slowdown of each server against the expected duration. */
  slowdown: ReturnType<typeof ServerSlowdown.make>;
  /** Measured prefill wait beyond the expected one. */
  prefillWait: ReturnType<typeof UnexpectedPrefillWait.make>;
  placement: ReturnType<typeof Placement.make>;
  retryBudgets: ReturnType<typeof RetryBudgets.make>;
  /** Records the steps taken for requests. */
  requestLog: ReturnType<typeof RequestLog.make>;
  /** One load shedder for each service. */
  shedders: { of(service: string): ReturnType<typeof LoadShedder.make> };
  counters: ReturnType<typeof OutcomeCounters.make>;
  /** Reports that a server failed a request of this daemon. */
  suspect: (server: Server, why: string) => void;
  /** Reports that a server rejected a request of this daemon. */
  noteRejection: (server: Server) => void;
};
