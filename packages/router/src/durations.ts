import type { Clock } from '@pumicebarrow/forms';

/** ms over which the longest of a route fades. */
const FADE = 30_000;
const MOST = 10_000;
/** A crowd makes answers longer than any before: so many times as long as the longest is held to be enough. */
const AMPLE = 2;
type Row = { ms: number; at: number };

/**
 * How long an answer of a route may take: by the longest of those lately, and of those still under way, which are
 * the first to show that all take longer; the route's own limit where none is known.
 * Invariant: bounded, whatever routes come and go.
 */
export const Durations = {
  make(clock: Clock) {
    const rows = new Map<string, Row>();
    /** When those under way began, by route: the oldest comes first. */
    const open = new Map<string, Set<{ at: number }>>();
    const age = (name: string): number => {
      const first = open.get(name)?.values().next().value;
      return first ? clock.mono() - first.at : 0;
    };
    const of = (name: string): number => {
      const r = rows.get(name);
      return r ? r.ms * Math.exp(-(clock.mono() - r.at) / FADE) : 0;
    };
    const note = (name: string, ms: number, _tokens = 0): void => {
      if (ms < of(name)) return;
      if (rows.size >= MOST) rows.clear();
      rows.set(name, { ms, at: clock.mono() });
    };
    return {
      note,
      /** A request is under way; gives what ends it, and is told whether its answer took that long. */
      begin(name: string): (answered: boolean) => void {
        const one = { at: clock.mono() };
        const all = open.get(name) ?? new Set();
        open.set(name, all.add(one));
        return (answered) => {
          all.delete(one);
          if (all.size === 0) open.delete(name);
          if (answered) note(name, clock.mono() - one.at);
        };
      },
      /** ms that one more is held to take at the most. */
      ample: (name: string, limit: number, _tokens = 0): number =>
        rows.has(name) ? Math.min(limit, Math.max(of(name), age(name)) * AMPLE) : limit,
    };
  },
};
