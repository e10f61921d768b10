import type { Verdict } from './generated.js';

/** Result of one call. `connected`: the connection was established, so the attempt number is used up. */
export type AttemptResult =
  { whole: true; text: string } | { whole: false; verdict: Verdict; pieces: number; connected: boolean };
