import type { Rule } from '@pumicebarrow/forms';

/** One request in a queue. Invariant: `turn` is called once, with true for its turn or false when it is given up. */
export type Waiter = { rule: Rule; due: number; order: number; open: boolean; turn: (go: boolean) => void };
