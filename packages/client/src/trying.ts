import type { Verdict } from './generated.js';

/** What came of one call. `made`: a connection was made, so the attempt number is spent. */
export type AttemptResult =
  { whole: true; text: string } | { whole: false; verdict: Verdict; pieces: number; connected: boolean };
