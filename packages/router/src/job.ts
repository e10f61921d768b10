import type { Route, Service } from '@pumicebarrow/forms';
import type { ResponseWriter } from './responsewriter.js';
import type { KvCacheHandle } from './kvcachehandle.js';
import type { ResponseHead } from './responsehead.js';
import type { ClientRequest } from './clientrequest.js';
import type { SendFault } from './sendfault.js';
import type { PlacementEstimate } from './placementestimate.js';

/**
 * State of one request while it is being served. Invariants: `countedSends` counts each send that may have reached a
 * server and that counts towards the route's tries and the retry budget (the first prefill that a server accepted does
 * not); `lastEventId` is the last event passed on to the client; once `responseHead` is set, it
 * has been sent and does not change.
 */
export type Job = {
  request: ClientRequest;
  route: Route;
  /** Priority rank of the tenant, or of the route if the tenant has none: 0 goes first. */
  rank: number;
  service: Service;
  writer: ResponseWriter;
  /** Monotonic time in ms by which the response must be complete. */
  deadline: number;
  /** Whether this is probably the client's first attempt. */
  isFirstTry: boolean;
  /** Whether servers schedule it ahead of others because it was probably deferred once. */
  expedited: boolean;
  /** Sends that count towards the tries and the retry budget; see above. */
  countedSends: number;
  /** Prefills sent so far. */
  prefillAttempts: number;
  /** Whether the retry budget could not cover a counted send; no further send follows then. */
  budgetExhausted: boolean;
  /** Placement estimate made in the current turn of the event loop; null once it may be stale. */
  placementEstimate: PlacementEstimate | null;
  handle: KvCacheHandle | null;
  /** Id of the last event that the client has, here or from an earlier attempt. */
  lastEventId: string | null;
  /** Head of the response that has started. */
  responseHead: ResponseHead | null;
  eventsSent: number;
  /** Whether an event without an id was passed on, after which no other server can tell where to go on. */
  sentEventWithoutId: boolean;
  /** Whether some server may have run the request. */
  mayHaveRun: boolean;
  /** Servers that failed this request; they are not tried again for it. */
  excludedServers: Set<string>;
  lastFault: SendFault | null;
  /** Aborted when the client disconnects (`gone`) or its key is revoked (`revoked`). */
  cancellation: AbortController;
};
