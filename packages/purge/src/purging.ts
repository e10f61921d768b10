import type { Purge } from './purge.js';

/** A running purge, as its daemon sees it. */
export type Purging = ReturnType<typeof Purge.make>;
