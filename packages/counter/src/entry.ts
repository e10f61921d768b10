/**
 * What a ledger owner holds of one key. Invariants: `attempt` only rises; 'sent' is reached from 'open' only,
 * so a try whose mark was never acknowledged here was never sent by a daemon that needs this owner's word.
 * `state` 'closed' means that try, and every one before it, did not run and will not.
 */
export type LedgerEntry = {
  digest: string;
  attempt: number;
  state: 'open' | 'sent' | 'closed' | 'ran';
  by: string;
  updatedAtMs: number;
};
