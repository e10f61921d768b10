import { Indices } from '@pumicebarrow/forms';

/**
 * What this daemon has under way at each server, in weights, and how long hand-overs between two servers took.
 * Invariants: `held` and the rows of `links` are indexed by the server's dense index; no load is below zero.
 */
export const Loads = {
  make() {
    const index = Indices.make();
    const held: number[] = [];
    const links: number[][] = [];
    return {
      at: (id: string): number => held[index.of(id)] ?? 0,
      take(id: string, weight: number): () => void {
        const i = index.of(id);
        held[i] = (held[i] ?? 0) + weight;
        let open = true;
        return () => {
          if (open) held[i] = Math.max(0, (held[i] ?? 0) - weight);
          open = false;
        };
      },
      link: (from: string, to: string): number => links[index.of(from)]?.[index.of(to)] ?? 0,
      timed(from: string, to: string, ms: number): void {
        const i = index.of(from),
          j = index.of(to),
          row = links[i] ?? [];
        const old = row[j];
        row[j] = old === undefined ? ms : old * 0.7 + ms * 0.3;
        links[i] = row;
      },
    };
  },
};
