import type { Result } from '@pumicebarrow/forms';
import type { TownList } from './townlist.js';

/** How the platform is asked for its list. */
export type Town = { poll(): Promise<Result<TownList, string>> };
