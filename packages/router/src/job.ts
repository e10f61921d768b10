import type { Route, Service } from '@pumicebarrow/forms';
import type { AnswerSink } from './answersink.js';
import type { Handle } from './handle.js';
import type { Request } from './request.js';
import type { SendFault } from './sendfault.js';
import type { Weighed } from './weighed.js';

/**
 * One request on its way. Invariants: `arrivals` counts every send that may have reached a server and counts towards
 * the route's tries and the budget (the first read that a server took up does not); `after` is the last event that
 * went to the client; once `begun`, the answer's head has gone out and stays.
 */
export type Job = {
  request: Request;
  route: Route;
  /** That of the tenant, or else of the route: 0 goes first. */
  rank: number;
  service: Service;
  writer: AnswerSink;
  due: number;
  /** Whether it is the client's first try, as far as that shows. */
  isFirstTry: boolean;
  /** Whether it goes before others at a server, because it was sent away once. */
  ahead: boolean;
  arrivals: number;
  reads: number;
  /** Whether a send that counts could not be paid for: what would follow it is left. */
  unpaid: boolean;
  /** How it fares, as weighed in this very turn; null once that may have changed. */
  weighed: Weighed | null;
  handle: Handle | null;
  lastEventId: string | null;
  responseStarted: boolean;
  eventsSent: number;
  /** The status of the answer that has begun. */
  status: number;
  /** Whether some send may have run it. */
  mayHaveRun: boolean;
  avoid: Set<string>;
  fault: SendFault | null;
  left: AbortController;
};
