import type { InventoryList } from './inventorylist.js';

/** One server as the platform lists it. */
export type ListedServer = InventoryList['servers'][number];
