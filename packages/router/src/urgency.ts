import type { Route } from '@pumicebarrow/forms';

/** ms that an answer takes beside the reading of its prompt. */
const BESIDE = 60;
/** The least laxity of each step, in ms. */
const STEPS = [150, 350, 600];
const FIRST = 2;
const HOPELESS = 7;

/**
 * How urgent a request is at a server: 0 goes first. The least laxity goes first: what is left of the aim once the
 * request's own work is done. A long prompt can't wait, a short one can; one that would miss its aim even alone goes
 * behind those that need not. The lowest ranks stand one step back.
 */
export const Urgency = {
  of(route: Route, ms: number): number {
    const laxity = route.aim - ms - BESIDE;
    if (laxity < 0) return HOPELESS;
    const step = STEPS.findIndex((s) => laxity < s);
    return FIRST + (step < 0 ? STEPS.length : step) + (route.rank > 1 ? 1 : 0);
  },
};
