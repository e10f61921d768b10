/**
 * Time for which every client is assumed to wait for a first event: in ms, and in multiples of the latency target; and
 * the fraction of it that is relied on.
 */
const GUARANTEED_WAIT_MS = 2000;
const GUARANTEED_WAIT_AIMS = 4;
const USABLE_WAIT_FRACTION = 0.8;
/** Weight of a prompt's own read time at a decode server, where the read delays all runs. */
const DECODE_READ_WEIGHT = 5;

type ReadEstimate = {
  /** Read time queued ahead of the prompt, and its own read time, in ms. */
  queuedMs: number;
  ownMs: number;
  /** Whether it would be read at a decode server, between the decoding of other runs. */
  atDecodeServer: boolean;
  /** Latency target for the first event, in ms. */
  aim: number;
  /** Time for which the client will still wait, in ms. */
  remainingMs: number;
};

/**
 * Identifies requests whose prompt would be read too late for their clients, so that the read would be wasted. Where
 * only decode servers are left, long prompts are rejected first, since one of them takes the time of many short ones.
 */
export const PrefillDeadline = {
  wouldMiss(estimate: ReadEstimate): boolean {
    const { queuedMs: waits, ownMs: own, atDecodeServer: beside, aim, remainingMs: left } = estimate;
    const usableWaitMs =
      Math.min(left, Math.max(GUARANTEED_WAIT_MS, aim * GUARANTEED_WAIT_AIMS)) * USABLE_WAIT_FRACTION;
    return waits > 0 && waits + own * (beside ? DECODE_READ_WEIGHT : 1) > usableWaitMs;
  },
};
