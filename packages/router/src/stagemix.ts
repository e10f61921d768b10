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
/** From so many servers on a change of one is a small part of the service: then some change at once, and sooner. */
const LARGE = 24;
/** Below this a large service is at ease; and the runs that it is held to be busy with, as prompts are read beside. */
const EASY = 0.4;
const FEWER = 12;
/** The part of a large service that changes at once at the most. */
const PART = 0.25;
/** A mix that is so little worse than the best is as good, if fewer servers change for it. */
const NEAR = 1.05;
/** How often running a need is seen before it counts as lasting, at the least. */
const TIMES = 5;
/** The part of the room from which on decode servers are held to be full, and the reading that may wait then. */
const BRIM = 0.85;
const WAITS = 150;

/**
 * How many servers of a service should change their stage. Invariants: never below one server of a stage; in a small
 * service one at a time, in a large one as many as bring the mix into balance, up to a part of it; only where the
 * busier stage would be clearly less busy for it, seen several times running, unless a stage has no server left, which
 * is mended at once. Where decode servers are full, requests are refused that readers would have time for: then readers
 * decode, if readers are the more or little waits there.
 */
export const StageMix = {
  LARGE,
  /** How busy the busier stage is; work goes round, so what one server gives up the others take. */
  pressure(load: Load, now: Count, next: Count): number {
    if (next.prefill < 1 || next.decode < 1) return Infinity;
    const read = StageMix.grown(load.read, HALF.read, now.prefill / next.prefill);
    const run = StageMix.grown(load.run, HALF.run, now.decode / next.decode);
    return Math.max(read / READ, run / (StageMix.most(now) > 1 ? FEWER : RUN));
  },
  /** What waits or runs once each server takes `ratio` times as much: a queue grows faster than its load. */
  grown(at: number, half: number, ratio: number): number {
    if (ratio === 1) return at;
    const used = (at / (at + half)) * ratio;
    return used >= FULL ? Infinity : (half * used) / (1 - used);
  },
  /** The most servers that may change at once. */
  most: (now: Count): number => (now.prefill + now.decode < LARGE ? 1 : Math.floor((now.prefill + now.decode) * PART)),
  /** How many more servers should read (above 0) or decode (below 0). */
  move(load: Load, now: Count): number {
    // One server alone has to decode, for it can read as well then; a reader alone could run nothing.
    if (now.prefill + now.decode < 2) return now.prefill > 0 ? -1 : 0;
    if (now.prefill < 1) return 1;
    if (now.decode < 1) return -1;
    const most = StageMix.most(now);
    const full = load.room !== undefined && load.run >= load.room * BRIM;
    if (full && now.prefill > 1 && (now.prefill > now.decode || load.read < WAITS))
      return -Math.ceil(Math.min(most, now.prefill - 1) / 2);
    const at = (by: number): number =>
      StageMix.pressure(load, now, { prefill: now.prefill + by, decode: now.decode - by });
    const here = at(0);
    if (here < (most > 1 ? EASY : BUSY)) return 0;
    const ways = Array.from({ length: most }, (_, i) => [i + 1, -i - 1]).flat();
    const least = Math.min(...ways.map(at));
    if (!(least <= here * GAIN)) return 0;
    return ways.find((by) => at(by) <= least * NEAR) ?? 0;
  },
  lean: (load: Load, now: Count): -1 | 0 | 1 => Math.sign(StageMix.move(load, now)) as -1 | 0 | 1,
  make() {
    let same = 0;
    let last = 0;
    return {
      /** How many should change now. */
      look(load: Load, now: Count, times = TIMES): number {
        const move = StageMix.move(load, now);
        const lean = Math.sign(move);
        same = lean !== 0 && lean === last ? same + 1 : 1;
        last = lean;
        const bare = now.prefill < 1 || now.decode < 1;
        // A stage of one server has twice as much for a second: that is worth a change even for a short need.
        const lone = (lean > 0 ? now.prefill : now.decode) === 1;
        const needed = lone || StageMix.most(now) > 1 ? TIMES : Math.max(TIMES, times);
        return lean !== 0 && (bare || same >= needed) ? move : 0;
      },
      reset(): void {
        same = 0;
        last = 0;
      },
    };
  },
};
