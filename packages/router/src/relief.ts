/** What a client surely waits for a first event, in ms and in aims, and the part of it that is counted on. */
const WAITED = 2000;
const AIMS = 4;
const COUNTED = 0.8;
/** How many times its own reading a prompt weighs: what it takes, it takes from so many others. */
const WEIGHT = 5;

type Case = {
  /** ms of reading that wait before it, and that it takes itself. */
  waits: number;
  own: number;
  aim: number;
  /** ms that the client will still wait. */
  left: number;
};

/**
 * Which requests are turned away where nothing but decode servers is left and those have more to read than their
 * callers wait for. Invariants: what would be read too late is not taken, for the reading would be lost; of the others
 * the long ones go first, since one of them takes the time of many.
 */
export const Relief = {
  needed(c: Case): boolean {
    const patience = Math.min(c.left, Math.max(WAITED, c.aim * AIMS)) * COUNTED;
    return c.waits > 0 && c.waits + c.own * WEIGHT > patience;
  },
};
