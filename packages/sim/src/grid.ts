import type { Net } from './net.js';

/** A running network. */
export type Grid = ReturnType<typeof Net.make>;
