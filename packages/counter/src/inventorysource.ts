import type { Result } from '@pumicebarrow/forms';
import type { InventoryList } from './inventorylist.js';

/** Source of the platform's list of servers. */
export type InventorySource = { poll(): Promise<Result<InventoryList, string>> };
