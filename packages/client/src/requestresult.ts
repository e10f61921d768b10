import type { Verdict } from './generated.js';

/** How a request ended for its caller. `text` is there only if the answer is whole. */
export type RequestResult =
  { whole: true; text: string; attempt: number } | { whole: false; verdict: Verdict; pieces: number; attempt: number };
