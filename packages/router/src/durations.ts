import type { Clock } from '@pumicebarrow/forms';

/** ms over which the longest of a route fades. */
const FADE = 30_000;
const MOST = 10_000;
type Row = { ms: number; at: number };

/**
 * How long whole answers of each route took lately, at the longest; the route's own limit where none is known.
 * Invariant: bounded, whatever routes come and go.
 */
export const Durations = {
  make(clock: Clock) {
    const rows = new Map<string, Row>();
    const of = (name: string): number => {
      const r = rows.get(name);
      return r ? r.ms * Math.exp(-(clock.mono() - r.at) / FADE) : 0;
    };
    return {
      note(name: string, ms: number): void {
        if (ms < of(name)) return;
        if (rows.size >= MOST) rows.clear();
        rows.set(name, { ms, at: clock.mono() });
      },
      longest: (name: string, limit: number): number => (rows.has(name) ? Math.min(limit, of(name)) : limit),
    };
  },
};
