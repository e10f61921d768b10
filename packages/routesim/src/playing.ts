import type { VirtualFleet } from './virtualfleet.js';

/** A fleet that is played. */
export type Playing = ReturnType<typeof VirtualFleet.make>;
