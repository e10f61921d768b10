import type { Line } from './line.js';

/** A line to the core, as its users see it. */
export type CoreLine = ReturnType<typeof Line.make>;
