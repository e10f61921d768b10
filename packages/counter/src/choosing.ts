import type { Choice } from './choice.js';

/** The choice of servers, as the run of a visit sees it. */
export type Choosing = ReturnType<typeof Choice.make>;
