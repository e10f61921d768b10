import type { Choice } from './choice.js';

/** The choice of servers, as the run of a request sees it. */
export type Choosing = ReturnType<typeof Choice.make>;
