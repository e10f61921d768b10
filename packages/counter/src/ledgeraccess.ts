import type { LedgerClient } from './ledgerclient.js';

/** The ledger client, as the request runner uses it. */
export type LedgerAccess = ReturnType<typeof LedgerClient.make>;
