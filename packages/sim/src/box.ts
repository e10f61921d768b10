import type { Host } from './host.js';

/** A simulated machine, as the net and the faults see it. */
export type Box = ReturnType<typeof Host.make>;
