import type { ServerList } from './serverlist.js';

/** The list as its readers use it. */
export type ServerListing = ReturnType<typeof ServerList.make>;
