import type { Verdict } from './generated.js';

/** Result of a request after all attempts. `text` is present only if the answer is complete (`whole`). */
export type RequestResult =
  { whole: true; text: string; attempt: number } | { whole: false; verdict: Verdict; pieces: number; attempt: number };
