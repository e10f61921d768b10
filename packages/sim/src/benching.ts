import type { Bench } from './bench.js';

/** A running core alone. */
export type Benching = ReturnType<typeof Bench.make>;
