import type { Clock } from '@pumicebarrow/forms';

/** How long a word counts, the part of a rest that was too long which is still allowed, and the shortest limit. */
const HOLD = 10_000;
const PART = 0.15;
const LEAST = 10;
/** A connection that rested less than this was in use a moment ago; one whose end takes longer was cut at work. */
const RESTED = 20;
const AT_ONCE = 100;

/**
 * How long a connection may have rested before it is used again. Servers may forget connections that rest, and tell
 * only whoever sends on one: what was sent may have run, so it is lost. Invariant: a rest that was once too long is not
 * allowed again, at any server, until the word of it has lapsed.
 */
export const RestLimit = {
  make(clock: Clock) {
    let most = Infinity;
    let until = -Infinity;
    const now = (): number => clock.mono();
    return {
      /** ms; Infinity where no rest was too long lately. */
      most: (): number => (now() < until ? most : Infinity),
      /**
       * On a connection that had rested for `rested` ms nothing came back but its end, `took` ms after the send. True
       * if it was most likely forgotten.
       */
      ended(rested: number, took: number): boolean {
        if (rested < RESTED || took > AT_ONCE) return false;
        most = Math.max(LEAST, Math.min(now() < until ? most : Infinity, rested * PART));
        until = now() + HOLD;
        return true;
      },
    };
  },
};
