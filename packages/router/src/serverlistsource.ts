import type { Result } from '@pumicebarrow/forms';
import type { Server } from './server.js';

/** Fetches the platform's whole server list, all pages of it. */
export type ServerListSource = { poll(): Promise<Result<readonly Server[], string>> };
