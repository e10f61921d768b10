/**
 * What a ledger owner stores for one key. Invariants: `attempt` only increases; 'sent' is reached from 'open' only, so
 * an attempt whose 'sent' mark this owner never acknowledged was not sent by any daemon that needs this owner's
 * acknowledgement. State 'closed': this attempt and all earlier ones did not run and never will. `by` is the daemon
 * (id/incarnation) that recorded this state's attempt.
 */
export type LedgerEntry = {
  digest: string;
  attempt: number;
  state: 'open' | 'sent' | 'closed' | 'ran';
  by: string;
  updatedAtMs: number;
};
