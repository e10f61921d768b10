import type { Shelf } from './shelf.js';

/** The shared records that a daemon holds. */
export type Holding = ReturnType<typeof Shelf.make>;
