import type { Voter } from './voter.js';

/** A voter, as the view keeper sees it. */
export type Voting = ReturnType<typeof Voter.make>;
