/**
 * Load of a service: ms of reading queued per prefill server, runs per decode server, and, if known, the runs that a
 * decode server admits before it rejects requests.
 */
type Load = { read: number; run: number; room?: number };
/** Servers of each stage. */
type Count = { prefill: number; decode: number };

/** Load at which a stage counts as busy: ms of queued reading, and runs. */
const BUSY_READ_MS = 350;
const BUSY_RUNS = 24;
/**
 * Load at which a stage is half used: ms of queued reading, and the number of runs at which each token takes twice as
 * long.
 */
const HALF_USED = { read: 130, run: 22 };
/** From this utilization on, a queue is treated as unbounded. */
const MAX_UTILIZATION = 0.97;
/**
 * Below this pressure no change is worth its cost; and a change must reduce the pressure to at most REQUIRED_GAIN_RATIO
 * of its current value.
 */
const MIN_PRESSURE = 0.9;
const REQUIRED_GAIN_RATIO = 0.8;
/** From this size on, one server is a small part of the service: several change at once, and sooner. */
const LARGE = 24;
/**
 * Below this pressure a large service is left alone; and the runs at which it counts as busy, fewer because prompts are
 * also read at its decode servers.
 */
const LARGE_MIN_PRESSURE = 0.4;
const LARGE_BUSY_RUNS = 12;
/** Largest fraction of a large service that changes at once. */
const MAX_SHARE = 0.25;
/** A mix whose pressure is at most this factor above the best one is as good, if fewer servers change for it. */
const NEAR_BEST_RATIO = 1.05;
/** Consecutive observations after which a demand counts as lasting, at least. */
const MIN_OBSERVATIONS = 5;
/**
 * Fraction of the room from which on decode servers count as full, and the ms of queued reading up to which prefill
 * servers then have little to do.
 */
const FULL_DECODE_FRACTION = 0.85;
const LIGHT_READ_MS = 150;

/**
 * Decides how many servers of a service should change their stage. Invariants: no stage is left with less than one
 * server; a small service changes one at a time, a large one as many as balance the stages, up to a fraction of it. A
 * change is made only if it clearly reduces the pressure of the busier stage, observed several times in a row; a stage
 * without servers gets one at once. If decode servers are full, requests are rejected for which prefill servers would
 * have time; then prefill servers change to decode, if they are the majority or have little queued.
 */
export const StageSizing = {
  LARGE_SERVICE_SERVERS: LARGE,
  /**
   * Pressure of the busier stage after a change; the total work stays the same, so other servers take what one gives
   * up.
   */
  pressure(load: Load, now: Count, next: Count): number {
    if (next.prefill < 1 || next.decode < 1) return Infinity;
    const read = StageSizing.scaledQueue(load.read, HALF_USED.read, now.prefill / next.prefill);
    const run = StageSizing.scaledQueue(load.run, HALF_USED.run, now.decode / next.decode);
    return Math.max(read / BUSY_READ_MS, run / (StageSizing.maxMoves(now) > 1 ? LARGE_BUSY_RUNS : BUSY_RUNS));
  },
  /** Queue or run count once each server takes `ratio` times the work: a queue grows faster than its load. */
  scaledQueue(amount: number, half: number, ratio: number): number {
    if (ratio === 1) return amount;
    const used = (amount / (amount + half)) * ratio;
    return used >= MAX_UTILIZATION ? Infinity : (half * used) / (1 - used);
  },
  /** Largest number of servers that may change at once. */
  maxMoves: (c: Count): number => (c.prefill + c.decode < LARGE ? 1 : Math.floor((c.prefill + c.decode) * MAX_SHARE)),
  /** Number of servers that should change to prefill (positive) or to decode (negative). */
  serversToMove(load: Load, now: Count): number {
    // A single server has to decode, since it can then read as well; a prefill server alone could run nothing.
    if (now.prefill + now.decode < 2) return now.prefill > 0 ? -1 : 0;
    if (now.prefill < 1) return 1;
    if (now.decode < 1) return -1;
    const maxMoves = StageSizing.maxMoves(now);
    const decodeFull = load.room !== undefined && load.run >= load.room * FULL_DECODE_FRACTION;
    if (decodeFull && now.prefill > 1 && (now.prefill > now.decode || load.read < LIGHT_READ_MS))
      return -Math.ceil(Math.min(maxMoves, now.prefill - 1) / 2);
    const pressureAfter = (by: number): number =>
      StageSizing.pressure(load, now, { prefill: now.prefill + by, decode: now.decode - by });
    const currentPressure = pressureAfter(0);
    if (currentPressure < (maxMoves > 1 ? LARGE_MIN_PRESSURE : MIN_PRESSURE)) return 0;
    const moves = Array.from({ length: maxMoves }, (_, i) => [i + 1, -i - 1]).flat();
    const lowest = Math.min(...moves.map(pressureAfter));
    if (!(lowest <= currentPressure * REQUIRED_GAIN_RATIO)) return 0;
    return moves.find((by) => pressureAfter(by) <= lowest * NEAR_BEST_RATIO) ?? 0;
  },
  direction: (load: Load, now: Count): -1 | 0 | 1 => Math.sign(StageSizing.serversToMove(load, now)) as -1 | 0 | 1,
  make() {
    let observations = 0;
    let lastDirection = 0;
    return {
      /** Number of servers that should change now, given what was observed before. */
      decide(load: Load, now: Count, minObservations = MIN_OBSERVATIONS): number {
        const move = StageSizing.serversToMove(load, now);
        const direction = Math.sign(move);
        observations = direction !== 0 && direction === lastDirection ? observations + 1 : 1;
        lastDirection = direction;
        const stageIsEmpty = now.prefill < 1 || now.decode < 1;
        // If a stage has one server, a change doubles its capacity: that is worth a change even for a short demand.
        const stageHasOne = (direction > 0 ? now.prefill : now.decode) === 1;
        const required =
          stageHasOne || StageSizing.maxMoves(now) > 1 ? MIN_OBSERVATIONS : Math.max(MIN_OBSERVATIONS, minObservations);
        return direction !== 0 && (stageIsEmpty || observations >= required) ? move : 0;
      },
      reset(): void {
        observations = 0;
        lastDirection = 0;
      },
    };
  },
};
