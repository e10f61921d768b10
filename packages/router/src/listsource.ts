import type { Result } from '@pumicebarrow/forms';
import type { Server } from './server.js';

/** How the platform is asked for its whole list of servers, every page of it. */
export type ListSource = { poll(): Promise<Result<readonly Server[], string>> };
