import type { VirtualFleet } from './virtualfleet.js';

/** A fleet that is played. */
export type Fleet = ReturnType<typeof VirtualFleet.make>;
