import type { TownList } from './townlist.js';

/** One server as the platform lists it. */
export type Listed = TownList['servers'][number];
