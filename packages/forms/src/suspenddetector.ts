import type { Clock } from './clock.js';

const CHECK_PERIOD_MS = 250;
/** A gap between two checks that is longer than this counts as a suspension. */
const SUSPENSION_THRESHOLD_MS = 1000;

/**
 * Detects that the daemon was suspended and calls `onResume`. A frozen process shows a gap on the monotonic clock. A
 * paused machine shows it on the wall clock only; a forward jump of the wall clock looks the same and is treated as a
 * suspension too, which costs no more than a short interruption of service.
 * Invariant: code that is about to act on anything that expires calls `check` first, so that it cannot act on expired
 * state between the resumption and the next periodic check.
 */
export const SuspendDetector = {
  make(clock: Clock, onResume: () => void) {
    let lastMono = clock.mono();
    let lastWall = clock.wall();
    let stopped = false;
    let suspensions = 0;
    const check = (): void => {
      const gap = Math.max(clock.mono() - lastMono, clock.wall() - lastWall);
      lastMono = clock.mono();
      lastWall = clock.wall();
      if (gap <= SUSPENSION_THRESHOLD_MS) return;
      suspensions++;
      onResume();
    };
    const tick = (): void => {
      if (stopped) return;
      check();
      (clock.afterCoalesced ?? clock.after)(CHECK_PERIOD_MS, tick);
    };
    return {
      /** Checks now and then periodically until `stop`. */
      start: tick,
      stop: (): void => {
        stopped = true;
      },
      check,
      /** Checks now and returns the number of suspensions detected so far. */
      suspensions: (): number => {
        check();
        return suspensions;
      },
    };
  },
};
