/** Overhead of a response in addition to the reading of its prompt, in ms. */
const RESPONSE_OVERHEAD_MS = 60;
/** Upper bounds in ms of the laxity classes, the most urgent first. */
const LAXITY_STEPS_MS = [150, 350, 600];
const FIRST_STEP_LEVEL = 2;
const HOPELESS_LEVEL = 7;
/**
 * Ahead of all laxity classes: prompts read in so few ms that they delay nobody, and requests that were deferred once.
 */
const TINY_READ_MS = 25;
const IMMEDIATE_LEVEL = 1;

/**
 * Urgency of a request at a server, 0 being served first, by least laxity: the part of the latency target that is left
 * after the request's own work. A long prompt cannot wait, a short one can; a request that would miss its target even
 * alone is served after those that can meet it. The lowest ranks are one class less urgent. A request that was deferred
 * once is served at once when it comes back, and so is one that needs next to no time.
 */
export const Urgency = {
  TINY_READ_MS,
  levelOf(job: { aim: number; rank: number }, readMs: number, expedited: boolean): number {
    const laxity = job.aim - readMs - RESPONSE_OVERHEAD_MS;
    if (laxity < 0) return HOPELESS_LEVEL;
    if (readMs < TINY_READ_MS || expedited) return IMMEDIATE_LEVEL;
    const step = LAXITY_STEPS_MS.findIndex((s) => laxity < s);
    return FIRST_STEP_LEVEL + (step < 0 ? LAXITY_STEPS_MS.length : step) + (job.rank > 1 ? 1 : 0);
  },
};
