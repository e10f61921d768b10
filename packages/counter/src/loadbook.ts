import type { Loads } from './loads.js';

/** This daemon's load on the servers, as other modules use it. */
export type LoadBook = ReturnType<typeof Loads.make>;
