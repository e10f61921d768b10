import type { Clock } from '@pumicebarrow/forms';

/** ms over which the longest of a route fades. */
const FADE = 30_000;
const MOST = 10_000;
/** A crowd makes answers longer than any before: so many times as long as the longest is held to be enough. */
const AMPLE = 2;
type Row = { value: number; at: number };

/** The largest value of each name lately: it fades with time. At most MOST names are kept. */
const fading = (clock: Clock) => {
  const rows = new Map<string, Row>();
  const now = (name: string): number => {
    const row = rows.get(name);
    return row ? row.value * Math.exp(-(clock.mono() - row.at) / FADE) : 0;
  };
  return {
    now,
    has: (name: string): boolean => rows.has(name),
    note(name: string, value: number): void {
      if (value < now(name)) return;
      if (rows.size >= MOST) rows.clear();
      rows.set(name, { value, at: clock.mono() });
    },
  };
};

/**
 * How long an answer of a route may take: by the longest of those lately, by the slowest of them for each token that it
 * may put out itself, and by those still under way, which are the first to show that all take longer; the route's own
 * limit where none is known. Invariant: bounded, whatever routes come and go.
 */
export const Durations = {
  make(clock: Clock) {
    const longest = fading(clock);
    const perToken = fading(clock);
    /** When those under way began, by route: the oldest comes first. */
    const open = new Map<string, Set<{ at: number }>>();
    const age = (name: string): number => {
      const first = open.get(name)?.values().next().value;
      return first ? clock.mono() - first.at : 0;
    };
    const note = (name: string, ms: number, tokens = 0): void => {
      longest.note(name, ms);
      if (tokens > 0) perToken.note(name, ms / tokens);
    };
    return {
      note,
      /** A request is under way that may put out so many tokens; gives what ends it, told whether it was answered. */
      begin(name: string, tokens = 0): (answered: boolean) => void {
        const one = { at: clock.mono() };
        const all = open.get(name) ?? new Set();
        open.set(name, all.add(one));
        return (answered) => {
          all.delete(one);
          if (all.size === 0) open.delete(name);
          if (answered) note(name, clock.mono() - one.at, tokens);
        };
      },
      /** ms that one more is held to take at the most. */
      ample(name: string, limit: number, tokens = 0): number {
        if (!longest.has(name)) return limit;
        const likely = Math.max(longest.now(name), age(name), perToken.now(name) * tokens);
        return Math.min(limit, likely * AMPLE);
      },
    };
  },
};
