import type { Clock } from './clock.js';

const BEAT = 250;
const SLEPT = 1000;

/**
 * Tells a daemon that it slept. A frozen process sees a gap on the monotonic clock; a paused machine sees it on the
 * wall clock only, where a forward jump looks the same and is taken for sleep too, which costs a moment and no more.
 * Invariant: whoever is about to act on something that ages looks first, so nothing slips in between waking and the
 * next beat.
 */
export const Awake = {
  make(clock: Clock, woke: () => void) {
    let mono = clock.mono();
    let wall = clock.wall();
    let off = false;
    let naps = 0;
    const look = (): void => {
      const gap = Math.max(clock.mono() - mono, clock.wall() - wall);
      mono = clock.mono();
      wall = clock.wall();
      if (gap <= SLEPT) return;
      naps++;
      woke();
    };
    const beat = (): void => {
      if (off) return;
      look();
      (clock.beat ?? clock.after)(BEAT, beat);
    };
    return {
      start: beat,
      stop: (): void => {
        off = true;
      },
      look,
      /** How often the daemon has slept, as looked for now. */
      slept: (): number => {
        look();
        return naps;
      },
    };
  },
};
