/** What a client surely waits for a first event, in ms and in aims, and the part of it that is counted on. */
const WAITED = 2000;
const AIMS = 4;
const COUNTED = 0.8;
type Case = {
  /** ms of reading that wait before it, and that it takes itself. */
  waits: number;
  own: number;
  aim: number;
  /** ms that the client will still wait. */
  left: number;
};

/** Which requests would be read too late for their callers, so that the reading would be lost. */
export const Relief = {
  tooLate(c: Case): boolean {
    const patience = Math.min(c.left, Math.max(WAITED, c.aim * AIMS)) * COUNTED;
    return c.waits > 0 && c.waits + c.own > patience;
  },
};
