import type { BootstrapCheck } from './bootstrapcheck.js';

type Reach = Parameters<typeof BootstrapCheck.run>[0];
const none = { restart: 0, cut: 0, propose: 2, forget: 0 };
const STATES = 200_000;

/** Searches of the model of the first view by name, so deep that the guards they are for are found. */
export const BootstrapSearches: Readonly<Record<string, Reach>> = {
  alone: {
    ...{ candidates: 3, introducers: 0, seeds: ['c1', 'c2', 'c3'], losses: 1, begin: 'empty' },
    ...{ depth: 9, states: STATES, left: { ...none, restart: 1, cut: 1 } },
  },
  apart: {
    ...{ candidates: 6, introducers: 0, seeds: ['c1', 'c2', 'c4'], losses: 1, begin: 'apart' },
    ...{ depth: 7, states: STATES, left: none },
  },
  introduced: {
    ...{ candidates: 6, introducers: 3, seeds: ['i1', 'i2', 'i3'], losses: 1, begin: 'founded' },
    ...{ depth: 6, states: STATES, left: none },
  },
  many: {
    ...{ candidates: 5, introducers: 1, seeds: ['c1', 'c2', 'i1'], losses: 2, begin: 'met' },
    ...{ depth: 5, states: STATES, left: { ...none, restart: 1 } },
  },
};
