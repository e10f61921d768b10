import type { Witness } from './witness.js';

/** The request's side of the ledger, as its run sees it. */
export type Witnessing = ReturnType<typeof Witness.make>;
