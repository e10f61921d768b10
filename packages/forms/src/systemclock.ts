import type { Clock } from './clock.js';

/** The clock and timers of the machine. */
export const SystemClock = {
  make(): Clock {
    return {
      mono: () => performance.now(),
      wall: () => Date.now(),
      after(ms, fn) {
        const timeout = setTimeout(fn, ms);
        return () => clearTimeout(timeout);
      },
    };
  },
};
