import type { Choice } from './choice.js';

/** Picks the server for a request at each stage. */
export type Choosing = ReturnType<typeof Choice.make>;
