import type { Duty } from './duty.js';

/** The named leases held by this daemon. */
export type Duties = ReturnType<typeof Duty.make>;
