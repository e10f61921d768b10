/** The part of the aim that is left to the queue when a deferred request comes back. */
const EASED = 0.5;
/** How much longer than the queue should need, and a spread, in ms, so that they don't all come back at once. */
const SLOWER = 1.2;
const SPREAD = 700;
const LEAST = 300;
/** The part of the time left within which a client comes back as told, and what it needs then, in aims. */
const HEEDED = 0.32;
const NEEDED = 1.2;

type Case = {
  /** ms until its first event if it is taken now, and if nothing else were waiting. */
  foreseen: number;
  alone: number;
  aim: number;
  /** ms that the client will still wait. */
  left: number;
  first: boolean;
};

/**
 * Whether a request that would miss its aim now had better come back once the queue is shorter, and after how many ms.
 * Invariants: only a first try is deferred, so that none is sent away twice; only one that would make its aim if it
 * were alone; and only where the client comes back as told with time for its aim.
 */
export const Deferral = {
  of(c: Case, chance: number): number | null {
    if (!c.first || c.foreseen <= c.aim || c.alone >= c.aim) return null;
    const wait = Math.max(LEAST, (c.foreseen - c.aim * EASED) * SLOWER + chance * SPREAD);
    const most = c.left * HEEDED;
    if (most < LEAST || c.left - Math.min(wait, most) < c.aim * NEEDED) return null;
    return Math.min(wait, most);
  },
};
