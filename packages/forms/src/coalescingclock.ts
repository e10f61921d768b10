import type { Clock } from './clock.js';

/**
 * A clock that coalesces the timers of recurring tasks on a common grid, so that a daemon with many small tasks wakes
 * once for all that are due at about the same time. Invariants: a coalesced timer fires within half a grid step of the
 * requested time; delays shorter than a grid step, and all timers set with `after`, fire at their own time.
 */
export const CoalescingClock = {
  make(clock: Clock, gridMs: number): Clock {
    return {
      ...clock,
      afterCoalesced(ms, fn) {
        if (ms < gridMs) return clock.after(ms, fn);
        const now = clock.mono();
        return clock.after(Math.max(1, Math.ceil(Math.round((now + ms) / gridMs) * gridMs - now)), fn);
      },
    };
  },
};
