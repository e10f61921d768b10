import type { Mark } from './mark.js';

/** Compares marks. A missing mark is older than any. */
export const Order = {
  cmp(a: Mark | null | undefined, b: Mark | null | undefined): number {
    if (!a || !b) return (a ? 1 : 0) - (b ? 1 : 0);
    return a[0] - b[0] || a[1] - b[1];
  },
  /** The mark that follows under a fence; null where a newer fence has written. */
  next(old: Mark | null | undefined, fence: number): Mark | null {
    if (old && old[0] > fence) return null;
    return [fence, old && old[0] === fence ? old[1] + 1 : 0];
  },
  newer(a: Mark | null | undefined, b: Mark | null | undefined): boolean {
    return Order.cmp(a, b) > 0;
  },
};
