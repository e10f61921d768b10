import type { ServerList } from './serverlist.js';

/** Type of the server list, for modules that use it. */
export type ServerListing = ReturnType<typeof ServerList.make>;
