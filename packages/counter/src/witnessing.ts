import type { LedgerClient } from './witness.js';

/** The ledger client, as the request runner uses it. */
export type LedgerAccess = ReturnType<typeof LedgerClient.make>;
