import { Timer, type Clock } from '@pumicebarrow/forms';

/**
 * Runs periodic checks of everything under way on one timer. Invariants: each check runs once per interval until it is
 * removed; the timer is stopped while there are no checks.
 */
export const PeriodicChecks = {
  make(clock: Clock, intervalMs: number) {
    const checks = new Set<() => void>();
    let stop: (() => void) | null = null;
    const runChecks = (): void => {
      for (const check of checks) check();
      if (checks.size > 0) return;
      stop?.();
      stop = null;
    };
    /** Adds a check and returns the function that removes it. */
    return (check: () => void): (() => void) => {
      checks.add(check);
      stop ??= Timer.every(clock, intervalMs, runChecks);
      return () => void checks.delete(check);
    };
  },
};
