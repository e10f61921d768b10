import type { ServerClockTable } from './serverclocktable.js';

/** What is known of the servers' clocks, as the modules that send requests use it. */
export type ServerClocks = ReturnType<typeof ServerClockTable.make>;
