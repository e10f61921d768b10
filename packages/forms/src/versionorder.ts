import type { VersionStamp } from './versionstamp.js';

/** Compares version stamps. A missing stamp is older than any other. */
export const VersionOrder = {
  compare(a: VersionStamp | null | undefined, b: VersionStamp | null | undefined): number {
    if (!a || !b) return (a ? 1 : 0) - (b ? 1 : 0);
    return a[0] - b[0] || a[1] - b[1];
  },
  /**
   * The next stamp under a fencing token; null if the record was already written under a newer token. Steps below
   * `firstStep` are left to earlier runs of a writer that keeps its token over a restart.
   */
  next(previous: VersionStamp | null | undefined, fence: number, firstStep = 0): VersionStamp | null {
    if (previous && previous[0] > fence) return null;
    return [fence, previous && previous[0] === fence ? Math.max(previous[1] + 1, firstStep) : firstStep];
  },
  isNewer(a: VersionStamp | null | undefined, b: VersionStamp | null | undefined): boolean {
    return VersionOrder.compare(a, b) > 0;
  },
};
