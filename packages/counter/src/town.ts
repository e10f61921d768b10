import type { Result } from '@pumicebarrow/forms';
import type { TownList } from './townlist.js';

/** Source of the platform's list of servers. */
export type Town = { poll(): Promise<Result<TownList, string>> };
