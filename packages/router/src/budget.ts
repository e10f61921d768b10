import type { Clock } from '@pumicebarrow/forms';

type Terms = { ratio: number; window: number; slack: number };
/** What is left unused, since daemons' counts of each other lag and a window may begin anywhere. */
const RATIO = 0.6;
const SLACK = 0.4;
const UNKNOWN = 40;

/**
 * Further tries this daemon may still make. Invariants: over any window, all daemons together take less than
 * `ratio` a request plus `slack`, for any split of the traffic: each earns a part of `ratio` by its own requests, and
 * its share of `slack` by time. A daemon that doesn't know how many there are takes the share of one of many.
 */
export const Budget = {
  make(clock: Clock, terms: () => Terms, daemons: () => number | null) {
    let level = 0;
    let at = clock.mono();
    const share = (): number => (terms().slack * SLACK) / Math.max(1, daemons() ?? UNKNOWN);
    const tick = (): void => {
      const now = clock.mono();
      level = Math.min(Math.max(1, share()), level + (share() * (now - at)) / terms().window);
      at = now;
    };
    return {
      request(): void {
        tick();
        level = Math.min(Math.max(1, share()), level + terms().ratio * RATIO);
      },
      take(): boolean {
        tick();
        if (level < 1) return false;
        level -= 1;
        return true;
      },
      /** Something was sent that counts as a further try, or may: it is paid for by those that come after. */
      owe(): void {
        tick();
        level -= 1;
      },
      level(): number {
        tick();
        return level;
      },
    };
  },
};
