import type { Mark } from './mark.js';

/** Compares version stamps. A missing stamp is older than any other. */
export const Order = {
  cmp(a: Mark | null | undefined, b: Mark | null | undefined): number {
    if (!a || !b) return (a ? 1 : 0) - (b ? 1 : 0);
    return a[0] - b[0] || a[1] - b[1];
  },
  /** The next stamp under a fencing token; null if the record was already written under a newer token. */
  next(previous: Mark | null | undefined, fence: number): Mark | null {
    if (previous && previous[0] > fence) return null;
    return [fence, previous && previous[0] === fence ? previous[1] + 1 : 0];
  },
  newer(a: Mark | null | undefined, b: Mark | null | undefined): boolean {
    return Order.cmp(a, b) > 0;
  },
};
