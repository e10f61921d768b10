import type { Fleet } from './fleet.js';

/** A simulated fleet, as callers, operators and faults see it. */
export type Fleeting = ReturnType<typeof Fleet.make>;
