import type { Purge } from './purge.js';

/** The gossip protocol running in one daemon. */
export type Purging = ReturnType<typeof Purge.make>;
