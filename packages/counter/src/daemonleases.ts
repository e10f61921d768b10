import type { LeaseManager } from './leasemanager.js';

/** The named leases held by this daemon. */
export type DaemonLeases = ReturnType<typeof LeaseManager.make>;
