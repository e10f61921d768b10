import type { LoadTracker } from './loadtracker.js';

/** This daemon's load on the servers, as other modules use it. */
export type InFlightLoads = ReturnType<typeof LoadTracker.make>;
