import type { Clock } from './clock.js';

/** The machine's own time. */
export const RealClock = {
  make(): Clock {
    return {
      mono: () => performance.now(),
      wall: () => Date.now(),
      after(ms, fn) {
        const t = setTimeout(fn, ms);
        return () => clearTimeout(t);
      },
    };
  },
};
