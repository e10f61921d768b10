import type { Server } from './server.js';

/** A send that is allowed and paid for. `isRetry` says whether the retry budget paid for it. */
export type ReservedSend = { server: Server; isRetry: boolean };
