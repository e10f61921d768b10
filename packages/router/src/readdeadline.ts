/** What a client surely waits for a first event, in ms and in aims, and the part of it that is counted on. */
const SURE_WAIT = 2000;
const SURE_AIMS = 4;
const COUNTED = 0.8;
/** How many times its own reading a prompt weighs at a decode server: it holds up all that run there. */
const WEIGHT_BESIDE = 5;

type Reading = {
  /** ms of reading that wait before it, and that it takes itself. */
  waits: number;
  own: number;
  /** Whether it would be read beside the runs of a decode server. */
  beside: boolean;
  aim: number;
  /** ms that the client will still wait. */
  left: number;
};

/**
 * Which requests would be read too late for their callers, so that the reading would be lost. Where nothing but decode
 * servers is left the long ones go first, since one of them takes the time of many.
 */
export const ReadDeadline = {
  missed(reading: Reading): boolean {
    const { waits, own, beside, aim, left } = reading;
    const patience = Math.min(left, Math.max(SURE_WAIT, aim * SURE_AIMS)) * COUNTED;
    return waits > 0 && waits + own * (beside ? WEIGHT_BESIDE : 1) > patience;
  },
};
