import type { RouteTable } from './routetable.js';

/** A routing configuration prepared for look-ups. */
export type Routes = ReturnType<typeof RouteTable.make>;
