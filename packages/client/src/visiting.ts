import type { Verdict } from './generated.js';

/** How a visit ended for its caller. `text` is there only if the outcome is whole. */
export type Visiting =
  { whole: true; text: string; attempt: number } | { whole: false; verdict: Verdict; pieces: number; attempt: number };
