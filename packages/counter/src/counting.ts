import type { Counter } from './counter.js';

/** A running counter daemon, as its programs see it. */
export type Counting = ReturnType<typeof Counter.make>;
