import { Timer, type Clock } from '@pumicebarrow/forms';

/** ms between two tries to learn of the newest configuration. */
const WAIT = 100;
type Tools = {
  clock: Clock;
  /** Whether this daemon still wants to know. */
  wanted: () => boolean;
  /** Asks for the newest configuration; true once what is held is known to be no older. */
  ask: () => Promise<boolean>;
  found: () => void;
};

/**
 * Whether this daemon is certain that no configuration in force when it asked is newer than the one it holds.
 * Invariant: it is asked for by one loop at a time, until it is found or nobody wants to know.
 */
export const Certainty = {
  make(t: Tools) {
    let certain = false;
    let seeking = false;
    return {
      is: (): boolean => certain,
      /** This daemon stood still for a while, and anything may have happened. */
      lose(): void {
        certain = false;
      },
      async seek(): Promise<void> {
        if (seeking) return;
        seeking = true;
        while (!certain && t.wanted()) {
          certain = await t.ask();
          if (certain) t.found();
          else await Timer.nap(t.clock, WAIT);
        }
        seeking = false;
      },
    };
  },
};
