/** Fraction of the latency target that the queue may still take when the deferred request comes back. */
const REMAINING_AIM_FRACTION = 0.5;
/**
 * Safety margin on the estimated queue time, and a random spread in ms, so that deferred requests do not all come back
 * at once.
 */
const ESTIMATE_MARGIN_FACTOR = 1.2;
const RETRY_SPREAD_MS = 700;
const MIN_DELAY_MS = 300;
/**
 * Longest delay that clients are known to honor, as a fraction of the time they have left; and the time a request needs
 * after its return, in multiples of its latency target.
 */
const HONORED_DELAY_FRACTION = 0.32;
const MIN_REMAINING_AIMS = 1.2;

type DeferralInput = {
  /** Expected ms to the first event if the request is taken now, and if nothing else were queued. */
  expectedMs: number;
  alone: number;
  /** Latency target for the first event, in ms. */
  aim: number;
  /** Time for which the client will still wait, in ms. */
  remainingMs: number;
  /** Whether this is the client's first attempt. */
  first: boolean;
};

/**
 * Decides whether a request that would miss its latency target now should come back once the queue is shorter, and
 * after how many ms. Invariants: only a first attempt is deferred, so no request is sent away twice; only a request
 * that would meet its target without a queue; and only if the client, coming back as told, still has time to meet the
 * target.
 */
export const Deferral = {
  retryDelayMs(input: DeferralInput, random: number): number | null {
    if (!input.first || input.expectedMs <= input.aim || input.alone >= input.aim) return null;
    const delayMs = Math.max(
      MIN_DELAY_MS,
      (input.expectedMs - input.aim * REMAINING_AIM_FRACTION) * ESTIMATE_MARGIN_FACTOR + random * RETRY_SPREAD_MS,
    );
    const maxDelayMs = input.remainingMs * HONORED_DELAY_FRACTION;
    if (maxDelayMs < MIN_DELAY_MS || input.remainingMs - Math.min(delayMs, maxDelayMs) < input.aim * MIN_REMAINING_AIMS)
      return null;
    return Math.min(delayMs, maxDelayMs);
  },
};
