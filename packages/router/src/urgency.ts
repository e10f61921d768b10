import type { Route } from '@pumicebarrow/forms';
import type { Prompt } from './prompt.js';

const LEAST = 9;
const BASE = 3;

/** How urgent a request is at a server: 0 goes first. */
export const Urgency = {
  of: (route: Route, _p: Prompt | null): number => Math.min(LEAST, BASE + route.rank),
};
