import { NameIndex } from '@pumicebarrow/forms';

/**
 * This daemon's requests in flight at each server, as a sum of weights, and a moving average of how long the hand-over
 * of a KV cache between two servers takes. Invariants: `weights` and the rows of `handovers` are indexed by the
 * server's dense index; no load is below zero.
 */
export const LoadTracker = {
  make() {
    const index = NameIndex.make();
    const weights: number[] = [];
    const handovers: number[][] = [];
    return {
      weightAt: (id: string): number => weights[index.indexOf(id)] ?? 0,
      /** Adds the weight to the server's load; the function returned takes it away, once. */
      reserve(id: string, weight: number): () => void {
        const i = index.indexOf(id);
        weights[i] = (weights[i] ?? 0) + weight;
        let counted = true;
        return () => {
          if (counted) weights[i] = Math.max(0, (weights[i] ?? 0) - weight);
          counted = false;
        };
      },
      handoverMs: (from: string, to: string): number => handovers[index.indexOf(from)]?.[index.indexOf(to)] ?? 0,
      recordHandover(from: string, to: string, ms: number): void {
        const fromIndex = index.indexOf(from),
          toIndex = index.indexOf(to),
          row = handovers[fromIndex] ?? [];
        const average = row[toIndex];
        row[toIndex] = average === undefined ? ms : average * 0.7 + ms * 0.3;
        handovers[fromIndex] = row;
      },
    };
  },
};
