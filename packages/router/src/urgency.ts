import type { Route } from '@pumicebarrow/forms';

const FIRST = 2;
const MOST = 8;
const STEPS = 4;

/**
 * How urgent a request is at a server: 0 goes first. What takes a small part of its aim goes ahead of what takes a
 * large one, so that the many short ones don't wait behind the few long; the lowest ranks stand one step back.
 */
export const Urgency = {
  of(route: Route, ms: number): number {
    const part = route.aim > 0 ? ms / route.aim : 0;
    return Math.min(MOST, FIRST + Math.min(STEPS, Math.floor(part * STEPS)) + (route.rank > 1 ? 1 : 0));
  },
};
