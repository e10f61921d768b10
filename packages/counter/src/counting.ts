import type { Counter } from './counter.js';

/** A running counter daemon. */
export type Counting = ReturnType<typeof Counter.make>;
