import type { RequestKind } from './requestkind.js';

/** What clients ask for: requests a second on average, each of a kind drawn from the list, in so many tries. */
export type ClientLoad = {
  perSecond: number;
  kinds: readonly RequestKind[];
  tries: number;
  /** Of ten requests so many are of the first tenant, the others of all in turn; none where it is left out. */
  crowd?: number;
};
