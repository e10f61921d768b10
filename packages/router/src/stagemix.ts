/**
 * How busy a service is: ms of reading that waits at each prefill server, runs at each decode server, and, where known,
 * how many of them are let in there before requests are refused.
 */
type Load = { read: number; run: number; room?: number };
type Count = { prefill: number; decode: number };

/** What is held to be busy: of reading, and of runs. */
const READ = 350;
const RUN = 24;
/** At these a stage is half used: ms of reading that waits, and runs at which each token takes twice as long. */
const HALF = { read: 130, run: 22 };
const FULL = 0.97;
/** Below this no change is worth its cost; and a change must bring the busier stage below this part of what it is. */
const BUSY = 0.9;
const GAIN = 0.8;
/** Of so many servers one is weighed alone; of more, a part as large. */
const STEP = 60;
/** How often running a need is seen before it counts as lasting, at the least. */
const TIMES = 5;
/** The part of the room from which on decode servers are held to be full, and the reading that may wait then. */
const BRIM = 0.85;
const WAITS = 150;

/**
 * Whether one more server of a service should read, or one fewer. Invariants: never below one server of a stage; by
 * one at a time; only where the busier stage would be clearly less busy for it, or in a large service for as many as
 * are the same part of it, seen several times running, unless a stage has no server left, which is mended at once.
 * Where decode servers are full, requests are refused that readers would have time for: then a reader decodes, if
 * readers are the more or little waits there.
 */
export const StageMix = {
  /** How busy the busier stage is; work goes round, so what one server gives up the others take. */
  pressure(load: Load, now: Count, next: Count): number {
    if (next.prefill < 1 || next.decode < 1) return Infinity;
    const read = StageMix.grown(load.read, HALF.read, now.prefill / next.prefill);
    const run = StageMix.grown(load.run, HALF.run, now.decode / next.decode);
    return Math.max(read / READ, run / RUN);
  },
  /** What waits or runs once each server takes `ratio` times as much: a queue grows faster than its load. */
  grown(at: number, half: number, ratio: number): number {
    if (ratio === 1) return at;
    const used = (at / (at + half)) * ratio;
    return used >= FULL ? Infinity : (half * used) / (1 - used);
  },
  /** One more reader (1), one fewer (-1), or none. */
  lean(load: Load, now: Count): -1 | 0 | 1 {
    // One server alone has to decode, for it can read as well then; a reader alone could run nothing.
    if (now.prefill + now.decode < 2) return now.prefill > 0 ? -1 : 0;
    if (now.prefill < 1) return 1;
    if (now.decode < 1) return -1;
    const full = load.room !== undefined && load.run >= load.room * BRIM;
    if (full && now.prefill > 1 && (now.prefill > now.decode || load.read < WAITS)) return -1;
    const here = StageMix.pressure(load, now, now);
    if (here < BUSY) return 0;
    const step = Math.ceil((now.prefill + now.decode) / STEP);
    const more = StageMix.pressure(load, now, { prefill: now.prefill + step, decode: now.decode - step });
    const less = StageMix.pressure(load, now, { prefill: now.prefill - step, decode: now.decode + step });
    if (!(Math.min(more, less) <= here * GAIN)) return 0;
    return more < less ? 1 : -1;
  },
  make() {
    let same = 0;
    let last = 0;
    return {
      look(load: Load, now: Count, times = TIMES): -1 | 0 | 1 {
        const lean = StageMix.lean(load, now);
        same = lean !== 0 && lean === last ? same + 1 : 1;
        last = lean;
        const bare = now.prefill < 1 || now.decode < 1;
        // A stage of one server has twice as much for a second: that is worth a change even for a short need.
        const lone = (lean > 0 ? now.prefill : now.decode) === 1;
        return lean !== 0 && (bare || same >= (lone ? TIMES : Math.max(TIMES, times))) ? lean : 0;
      },
      reset(): void {
        same = 0;
        last = 0;
      },
    };
  },
};
