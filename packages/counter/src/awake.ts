import type { Clock } from '@pumicebarrow/forms';

const BEAT = 100;
const SLEPT = 1000;

/** Tells a frozen daemon that it was frozen. Invariant: the gate asks before each visit, so no visit slips in between waking and the next beat. */
export const Awake = {
  make(clock: Clock, woke: () => void) {
    let last = clock.mono();
    let off = false;
    const look = (): void => {
      const gap = clock.mono() - last;
      last = clock.mono();
      if (gap > SLEPT) woke();
    };
    const beat = (): void => {
      if (off) return;
      look();
      clock.after(BEAT, beat);
    };
    return { start: beat, stop: (): void => { off = true; }, look };
  },
};
