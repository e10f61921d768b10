import type { Mark } from './mark.js';

/** Compares marks. A missing mark is older than any. */
export const Order = {
  cmp(a: Mark | null | undefined, b: Mark | null | undefined): number {
    if (!a || !b) return (a ? 1 : 0) - (b ? 1 : 0);
    return a[0] - b[0] || a[1] - b[1];
  },
  newer(a: Mark | null | undefined, b: Mark | null | undefined): boolean {
    return Order.cmp(a, b) > 0;
  },
};
