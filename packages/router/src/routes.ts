import type { RouteTable } from './routetable.js';

/** A routing made ready. */
export type Routes = ReturnType<typeof RouteTable.make>;
