import type { Clock } from './clock.js';

/**
 * A clock on which work that comes again and again falls on common beats, so that a daemon with many small duties wakes
 * once for those that are due about then. Invariants: a beat comes within half a `grid` of when it was asked for; what
 * is asked for in less than a grid, and all that is asked of `after`, comes at its own time.
 */
export const BeatClock = {
  make(clock: Clock, grid: number): Clock {
    return {
      ...clock,
      beat(ms, fn) {
        if (ms < grid) return clock.after(ms, fn);
        const now = clock.mono();
        return clock.after(Math.max(1, Math.ceil(Math.round((now + ms) / grid) * grid - now)), fn);
      },
    };
  },
};
