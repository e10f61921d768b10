import type { Evidence } from './evidence.js';

/** One rule: what broke it, in words, and how often there was something to look at. */
export type Rule = {
  name: string;
  check(e: ReturnType<typeof Evidence.make>): { faults: readonly string[]; looked: number };
};
