import type { Shelf } from './shelf.js';

/** A shelf, as its users see it. */
export type Holding = ReturnType<typeof Shelf.make>;
