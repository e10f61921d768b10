import type { ModelCheck } from './modelcheck.js';

type Reach = Parameters<typeof ModelCheck.run>[0];
const none = { crash: 0, wipe: 0, cut: 0, write: 0, propose: 0 };
const STATES = 200_000;

/** Searches of the model by name: what each allows, so deep that the guards it is for are found. */
export const ModelSearches: Readonly<Record<string, Reach>> = {
  leases: { members: 3, begin: 'level', depth: 6, states: STATES, left: { ...none, cut: 1, propose: 1 } },
  choice: { members: 3, begin: 'level', depth: 5, states: STATES, left: { ...none, crash: 1, propose: 2 } },
  writes: { members: 3, begin: 'level', depth: 6, states: STATES, left: { ...none, crash: 1, write: 1, propose: 1 } },
  losses: { members: 3, begin: 'behind', depth: 6, states: STATES, left: { ...none, crash: 1, wipe: 1, propose: 2 } },
  copies: { members: 3, begin: 'behind', depth: 7, states: STATES, left: { ...none, wipe: 1, write: 1, propose: 1 } },
  five: { members: 5, begin: 'behind', depth: 4, states: STATES, left: { ...none, crash: 1, wipe: 1, propose: 1 } },
};
