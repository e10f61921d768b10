import type { RandomSource } from '@pumicebarrow/forms';
import type { Prompt } from '@pumicebarrow/router';
import type { Wish } from './wish.js';

/** One kind of request that clients send. `prompt` makes the prompt of the request with a number; null for none. */
export type RequestKind = {
  path: string;
  kind: Wish['kind'];
  resumable: boolean;
  prompt?: (chance: RandomSource, n: number) => Prompt;
  /** ms that a client waits for the whole answer, through all its tries. */
  deadline: number;
};
