/** What a client surely waits for a first event, in ms and in aims, and the part of it that is counted on. */
const SURE_WAIT = 2000;
const SURE_AIMS = 4;
const COUNTED = 0.8;

type Reading = {
  /** ms of reading that wait before it, and that it takes itself. */
  waits: number;
  own: number;
  aim: number;
  /** ms that the client will still wait. */
  left: number;
};

/** Which requests would be read too late for their callers, so that the reading would be lost. */
export const ReadDeadline = {
  missed(reading: Reading): boolean {
    const { waits, own, aim, left } = reading;
    const patience = Math.min(left, Math.max(SURE_WAIT, aim * SURE_AIMS)) * COUNTED;
    return waits > 0 && waits + own > patience;
  },
};
