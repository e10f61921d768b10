import type { Clock } from '@pumicebarrow/forms';

const NEW = 0.1;
const MOST = 1000;
/** ms over which what was learnt fades. */
const FADE = 5000;

/**
 * ms that reads lately waited beyond what was foreseen: work of other routers that this one has not heard of.
 * Invariant: none in a fleet where each hears of all others, for there it is not unheard work that makes reads wait;
 * without news it fades to none, so that readers are tried again.
 */
export const ReadWait = {
  make(clock: Clock, apart: () => boolean) {
    let mean = 0;
    let at = -Infinity;
    const now = (): number => (mean === 0 || !apart() ? 0 : mean * Math.exp(-(clock.mono() - at) / FADE));
    return {
      now,
      note(ms: number): void {
        mean = now() * (1 - NEW) + Math.min(MOST, Math.max(0, ms)) * NEW;
        at = clock.mono();
      },
    };
  },
};
