import type { Clock } from '@pumicebarrow/forms';

const JUMP = 1000;

/**
 * A server's own count of the ms that have gone by. Invariant: it is never behind: where the machine was paused and the
 * monotonic clock stood still, the wall clock's gap is added. A wall clock set forward then turns work away in
 * vain, once.
 */
export const Tide = {
  make(clock: Clock) {
    let mono = clock.mono();
    let wall = clock.wall();
    let count = 0;
    return {
      now(): number {
        const step = clock.mono() - mono,
          gap = clock.wall() - wall;
        mono = clock.mono();
        wall = clock.wall();
        count += gap - step > JUMP ? gap : step;
        return count;
      },
    };
  },
};
