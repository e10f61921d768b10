import type { Scene } from '../scene.js';
import type { Trainers } from './trainers.js';

/** One trouble in the midst of lending. Invariant: what it `meets` has come about by its end, or the run has failed. */
export type LentDrill = {
  name: string;
  about: string;
  meets: readonly (
    'lent' | 'recalled' | 'unrun' | 'killed' | 'frozen' | 'fell' | 'lapsed' | 'wouldwait' | 'unsure' | 'late' | 'again'
  )[];
  run(s: Scene, t: ReturnType<typeof Trainers.make>): Promise<void>;
};
