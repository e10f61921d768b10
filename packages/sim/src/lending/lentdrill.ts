import type { Scene } from '../scene.js';
import type { Trainers } from './trainers.js';

/** One trouble in the midst of lending. Invariant: what it `meets` has come about by its end, or the run has failed. */
export type LentDrill = {
  name: string;
  about: string;
  meets: readonly (
    | 'lent'
    | 'recalled'
    | 'unrun'
    | 'killed'
    | 'frozen'
    | 'fell'
    | 'lapsed'
    | 'wouldwait'
    | 'unsure'
    | 'late'
    | 'again'
    | 'cutat'
    | 'resumed'
    | 'resumedtwice'
    | 'crashed'
    | 'flocked'
    | 'swapped'
    | 'returned'
  )[];
  /** Whether nothing fails in it, so that it can be judged whether what was called back was needed. */
  calm?: true;
  /** Whether a server may change its part for bursts. */
  swaps?: true;
  run(s: Scene, t: ReturnType<typeof Trainers.make>): Promise<void>;
};
