import type { Server } from './server.js';

/**
 * Handle to the KV cache of a prefilled prompt, which `server` holds until it is fetched, released or expires. It
 * belongs to one request.
 */
export type KvCacheHandle = { server: Server; id: string; tokens: number };
