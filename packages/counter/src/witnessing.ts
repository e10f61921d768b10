import type { LedgerClient } from './witness.js';

/** The request's side of the ledger, as its run sees it. */
export type LedgerAccess = ReturnType<typeof LedgerClient.make>;
