import type { DaemonStatus } from '@pumicebarrow/router';
import type { Routing } from '@pumicebarrow/forms';
import type { View } from '@pumicebarrow/registry';
import type { Daemon } from './daemon.js';

/** State of a whole routed fleet at one time, collected from its daemons. */
export type FleetState = {
  /** Configuration in force at the tail of the core; null if the core did not reply. */
  core: { version: number; routing: Routing | null } | null;
  view: View | null;
  daemons: readonly Daemon[];
  /** Servers in the newest server list; null if no daemon has a list. `orders` are the stage orders of that list. */
  servers: DaemonStatus['servers'];
  orders: NonNullable<DaemonStatus['orders']>;
};
