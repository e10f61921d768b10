import type { World } from '@pumicebarrow/forms';
import type { ModelServerClient } from './modelserverclient.js';
import type { RetryBudget } from './retrybudget.js';
import type { ServerClocks } from './serverclocks.js';
import type { AdmissionController } from './admissioncontroller.js';
import type { ListedServer } from './listedserver.js';
import type { InFlightLoads } from './inflightloads.js';
import type { ServerPicker } from './serverpicker.js';
import type { InventoryView } from './inventoryview.js';
import type { Queue } from './queue.js';
import type { LedgerAccess } from './ledgeraccess.js';

/** Dependencies of the request runner. */
export type RequestRunnerDependencies = {
  world: World;
  admission: AdmissionController;
  /** Requests that wait at admission. */
  queue: ReturnType<typeof Queue.make>;
  /** Requests that have a handle and wait for a decode server. */
  decodeQueue: ReturnType<typeof Queue.make>;
  /** Picks the servers for prefill and decode. */
  choice: ServerPicker;
  loads: InFlightLoads;
  /** Server inventory of the platform. */
  town: InventoryView;
  /** Clocks of the model servers. */
  hails: ServerClocks;
  /** Client of the request ledger. */
  witness: LedgerAccess;
  retryBudget: ReturnType<typeof RetryBudget.make>;
  /** Client of the model servers. */
  back: ModelServerClient;
  /** Reports a server that did not reply. */
  sighted: (server: ListedServer) => void;
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
