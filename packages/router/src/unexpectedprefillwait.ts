import type { Clock } from '@pumicebarrow/forms';

const SAMPLE_WEIGHT = 0.1;
const MAX_SAMPLE_MS = 1000;
/** Time constant of the decay of the mean. */
const DECAY_MS = 5000;

/**
 * Mean time in ms that reads recently waited beyond what was expected, caused by work of other routers that this one
 * has not heard of. Invariants: zero in a fleet where each router hears from all others, since there it is not unknown
 * work that makes reads wait; without new samples it decays to zero, so that prefill servers are tried again.
 */
export const UnexpectedPrefillWait = {
  make(clock: Clock, isPartial: () => boolean) {
    let mean = 0;
    let lastAt = -Infinity;
    const value = (): number => (mean === 0 || !isPartial() ? 0 : mean * Math.exp(-(clock.mono() - lastAt) / DECAY_MS));
    return {
      currentMeanMs: value,
      record(ms: number): void {
        mean = value() * (1 - SAMPLE_WEIGHT) + Math.min(MAX_SAMPLE_MS, Math.max(0, ms)) * SAMPLE_WEIGHT;
        lastAt = clock.mono();
      },
    };
  },
};
