import type { Clock } from '@pumicebarrow/forms';

type Row = { factor: number; at: number };
const NEW = 0.15;
const LEAST = 0.6;
const MOST = 8;
/** ms over which what was learnt of a server fades, so that one which was slow is tried again. */
const FADE = 5000;
const PLAIN = 2;

/**
 * How much longer than foreseen each server takes, learnt from what was asked of it. Invariant: without news a server
 * is held to be as fast as any other, again after a while.
 */
export const ServerSpeed = {
  make(clock: Clock) {
    const rows = new Map<string, Row>();
    const of = (id: string): number => {
      const r = rows.get(id);
      return r ? 1 + (r.factor - 1) * Math.exp(-(clock.mono() - r.at) / FADE) : 1;
    };
    return {
      /** Queues make any server late now and then: only what is clearly slower counts, and by what is beyond that. */
      of: (id: string): number => Math.max(1, of(id) - (PLAIN - 1)),
      note(id: string, took: number, foreseen: number): void {
        const seen = Math.min(MOST, Math.max(LEAST, took / Math.max(1, foreseen)));
        rows.set(id, { factor: of(id) * (1 - NEW) + seen * NEW, at: clock.mono() });
      },
      only(ids: ReadonlySet<string>): void {
        for (const id of rows.keys()) if (!ids.has(id)) rows.delete(id);
      },
    };
  },
};
