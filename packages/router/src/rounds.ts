import { Timer, type Clock } from '@pumicebarrow/forms';

/**
 * Looks after all that is under way by one timer. Invariants: each is looked at once a round until it is taken off;
 * the timer stands still while there is none.
 */
export const Rounds = {
  make(clock: Clock, ms: number) {
    const looks = new Set<() => void>();
    let stop: (() => void) | null = null;
    const round = (): void => {
      for (const look of looks) look();
      if (looks.size > 0) return;
      stop?.();
      stop = null;
    };
    /** Gives what takes it off again. */
    return (look: () => void): (() => void) => {
      looks.add(look);
      stop ??= Timer.every(clock, ms, round);
      return () => void looks.delete(look);
    };
  },
};
