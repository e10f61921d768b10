import type { Clock } from '@pumicebarrow/forms';

type Slowdown = { factor: number; at: number };
const SAMPLE_WEIGHT = 0.15;
const MIN_SAMPLE = 0.6;
const MAX_SAMPLE = 8;
/** Time constant in ms of the decay of what was learned, so that a server that was slow is tried again. */
const DECAY_MS = 5000;
const NORMAL_SLOWDOWN = 2;

/**
 * Learns the factor by which each server takes longer than expected. Invariant: without new samples a server counts as
 * fast as any other again after a while.
 */
export const ServerSlowdown = {
  make(clock: Clock) {
    const rows = new Map<string, Slowdown>();
    const currentFactor = (id: string): number => {
      const row = rows.get(id);
      return row ? 1 + (row.factor - 1) * Math.exp(-(clock.mono() - row.at) / DECAY_MS) : 1;
    };
    return {
      /**
       * Queues make any server late at times, so only a clear slowdown counts, and only the part beyond
       * NORMAL_SLOWDOWN.
       */
      factorOf: (id: string): number => Math.max(1, currentFactor(id) - (NORMAL_SLOWDOWN - 1)),
      record(id: string, actualMs: number, expectedMs: number): void {
        const sample = Math.min(MAX_SAMPLE, Math.max(MIN_SAMPLE, actualMs / Math.max(1, expectedMs)));
        rows.set(id, { factor: currentFactor(id) * (1 - SAMPLE_WEIGHT) + sample * SAMPLE_WEIGHT, at: clock.mono() });
      },
      retain(ids: ReadonlySet<string>): void {
        for (const id of rows.keys()) if (!ids.has(id)) rows.delete(id);
      },
    };
  },
};
