import { Timer, type Clock } from '@pumicebarrow/forms';

/** Pause between two attempts to confirm the configuration. */
const RETRY_INTERVAL_MS = 100;
type Dependencies = {
  clock: Clock;
  /** Whether this daemon still needs the confirmation. */
  isNeeded: () => boolean;
  /** Asks for the newest configuration; true once the one held is known to be no older. */
  queryNewest: () => Promise<boolean>;
  onConfirmed: () => void;
};

/**
 * Tracks whether the configuration held is known to be at least as new as any that was in force when this daemon asked.
 * Invariant: at most one loop asks at a time, until it is confirmed or nobody needs to know.
 */
export const ConfigurationFreshness = {
  make(deps: Dependencies) {
    let confirmed = false;
    let confirming = false;
    return {
      isConfirmed: (): boolean => confirmed,
      /** Called after the process was suspended for a while, since the configuration may have changed meanwhile. */
      invalidate(): void {
        confirmed = false;
      },
      async confirm(): Promise<void> {
        if (confirming) return;
        confirming = true;
        while (!confirmed && deps.isNeeded()) {
          confirmed = await deps.queryNewest();
          if (confirmed) deps.onConfirmed();
          else await Timer.sleep(deps.clock, RETRY_INTERVAL_MS);
        }
        confirming = false;
      },
    };
  },
};
