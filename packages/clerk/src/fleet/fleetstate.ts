import type { DaemonStatus } from '@pumicebarrow/router';
import type { Routing } from '@pumicebarrow/forms';
import type { View } from '@pumicebarrow/registry';
import type { Daemon } from './daemon.js';

/** What is known of a whole fleet at one time. */
export type FleetState = {
  /** What the core's tail has in force; null where the core did not reply. */
  core: { version: number; routing: Routing | null } | null;
  view: View | null;
  daemons: readonly Daemon[];
  /** The servers and the orders given to them, as the daemon with the youngest list has them; null if no one has. */
  servers: DaemonStatus['servers'];
  orders: NonNullable<DaemonStatus['orders']>;
};
