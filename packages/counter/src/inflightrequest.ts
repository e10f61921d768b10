import type { NamedRoute, Verdict } from '@pumicebarrow/forms';
import type { Service } from 'robot3';
import type { ResponseWriter } from './responsewriter.js';
import type { KvCacheHandle } from './kvcachehandle.js';
import type { ListedServer } from './listedserver.js';
import type { ClientRequest } from './clientrequest.js';
import type { RequestStateMachine } from './requeststatemachine.js';

/**
 * A request that has been admitted and recorded as sent by the ledger's owners. Invariants: `handle` was issued by the
 * prefill server named beside it, and fits the request; servers are only ever added to those excluded; `failure` is the
 * verdict if the request is given up now.
 */
export type InFlightRequest = {
  request: ClientRequest;
  route: NamedRoute;
  writer: ResponseWriter;
  /** Deadline of the first piece, in monotonic ms. */
  deadline: number;
  /** Called once the request has a server, or has failed: releases what admission reserved for it. */
  releaseReservation: () => void;
  /** State machine of the request. */
  stateMachine: Service<typeof RequestStateMachine>;
  /** Hash of the prompt's prefix. */
  prefix: string;
  /** Servers that have failed for this request. */
  excludedServers: Set<string>;
  /** Handle of the KV cache that prefill has produced. */
  handle: KvCacheHandle | null;
  /** The server that has run prefill. */
  prefillServer: ListedServer | null;
  failure: Verdict;
};
