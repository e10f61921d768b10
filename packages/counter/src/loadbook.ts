import type { Loads } from './loads.js';

/** The loads, as the other parts see them. */
export type LoadBook = ReturnType<typeof Loads.make>;
