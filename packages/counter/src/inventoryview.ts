import type { InventoryWatcher } from './inventorywatcher.js';

/** The platform's list of servers, as other modules read it. */
export type InventoryView = ReturnType<typeof InventoryWatcher.make>;
