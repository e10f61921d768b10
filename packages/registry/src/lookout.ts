import type { Watch } from './watch.js';

/** A watch, as the core sees it. */
export type Lookout = ReturnType<typeof Watch.make>;
