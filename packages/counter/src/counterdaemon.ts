import type { Counter } from './counter.js';

/** A running counter daemon. */
export type CounterDaemon = ReturnType<typeof Counter.make>;
