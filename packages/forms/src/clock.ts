/**
 * The clocks and timers of a daemon. `mono` never goes back, and all ages and terms are computed from it; `wall` may
 * jump and is only for display and for detecting suspensions.
 */
export type Clock = {
  /** Monotonic time in ms. */
  mono(): number;
  /** Wall-clock time in ms since the epoch. */
  wall(): number;
  /** Calls `fn` once after `ms`; the returned function cancels the timer. */
  after(ms: number, fn: () => void): () => void;
  /** Like `after`, for recurring tasks: the time may shift slightly so that timers due close together fire together. */
  afterCoalesced?(ms: number, fn: () => void): () => void;
};
