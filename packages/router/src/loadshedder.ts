import type { RandomSource, Clock } from '@pumicebarrow/forms';

/** Interval between updates of the probability. */
const UPDATE_INTERVAL_MS = 100;
/**
 * Queueing delay that is aimed at: enough to keep servers busy, and short enough for admitted requests to meet their
 * latency target.
 */
const TARGET_WAIT_MS = 400;
/**
 * Added to the probability per update, for each ms by which the wait exceeds the target, and for each ms by which it
 * has grown.
 */
const EXCESS_GAIN_PER_MS = 0.00002;
const TREND_GAIN_PER_MS = 0.0001;
/** Some requests are always admitted, or it could not be seen that the queue has become shorter. */
const MAX_PROBABILITY = 0.95;
/** Factor applied to the probability per update while hardly anything waits. */
const IDLE_DECAY_FACTOR = 0.9;

/**
 * Random early rejection with a proportional-integral controller, as PIE (RFC 8033) does for packets: while requests
 * wait longer than a target, a growing fraction of them is rejected on arrival, whatever their kind and size. Queues
 * stay short, and admitted requests are served in time. Invariants: a short burst hardly raises the probability;
 * nothing is rejected while hardly anything waits.
 */
export const LoadShedder = {
  make(clock: Clock, random: RandomSource) {
    let probability = 0;
    /** The shortest wait seen since the last update, and the shortest one of the interval before. */
    let minWaitMs = Infinity;
    let previousMinWaitMs = 0;
    let updatedAt = clock.mono();
    const update = (): void => {
      const elapsedIntervals = (clock.mono() - updatedAt) / UPDATE_INTERVAL_MS;
      if (elapsedIntervals < 1) return;
      updatedAt = clock.mono();
      if (minWaitMs < TARGET_WAIT_MS / 2) probability *= IDLE_DECAY_FACTOR ** elapsedIntervals;
      const change =
        EXCESS_GAIN_PER_MS * (minWaitMs - TARGET_WAIT_MS) * elapsedIntervals +
        TREND_GAIN_PER_MS * (minWaitMs - previousMinWaitMs);
      probability = Math.max(0, Math.min(MAX_PROBABILITY, probability + change));
      previousMinWaitMs = minWaitMs;
      minWaitMs = Infinity;
    };
    return {
      /** Whether to reject a request that has `waitMs` of work queued ahead of it. */
      shouldShed(waitMs: number): boolean {
        minWaitMs = Math.min(minWaitMs, waitMs);
        update();
        return waitMs > TARGET_WAIT_MS / 2 && random.real() < probability;
      },
      /** Whether some requests are being rejected. */
      isActive: (): boolean => probability > 0,
    };
  },
};
