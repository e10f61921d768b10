import type { World } from '@pumicebarrow/forms';
import type { Back } from './back.js';
import type { Bucket } from './bucket.js';
import type { Hailing } from './hailing.js';
import type { Admitting } from './admitting.js';
import type { Listed } from './listed.js';
import type { LoadBook } from './loadbook.js';
import type { Choosing } from './choosing.js';
import type { TownView } from './townview.js';
import type { Queue } from './queue.js';
import type { LedgerAccess } from './witnessing.js';

/** Dependencies of the request runner. */
export type RunTools = {
  world: World;
  admission: Admitting;
  /** Requests that wait at admission. */
  queue: ReturnType<typeof Queue.make>;
  /** Requests that have a handle and wait for a decode server. */
  decodeQueue: ReturnType<typeof Queue.make>;
  /** Picks the servers for prefill and decode. */
  choice: Choosing;
  loads: LoadBook;
  /** Server inventory of the platform. */
  town: TownView;
  /** Clocks of the model servers. */
  hails: Hailing;
  /** Client of the request ledger. */
  witness: LedgerAccess;
  retryBudget: ReturnType<typeof Bucket.make>;
  /** Client of the model servers. */
  back: Back;
  /** Reports a server that did not reply. */
  sighted: (server: Listed) => void;
  /** Grants turns to queued requests for which there is capacity. */
  grantTurns: () => void;
  /** Version of the local configuration. */
  version: () => number;
  /** Whether the local configuration is confirmed to be no older than any that this daemon held before. */
  sure: () => boolean;
  /** Weight of the requests that now need prefill (`read`) and decode (`write`). */
  demand: { read: number; write: number };
  /** Sent to servers with each request that live requests may overtake there; absent for live requests. */
  urgency?: number;
};
