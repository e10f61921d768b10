import type { Meets } from './meets.js';
import type { Scene } from './scene.js';

/**
 * One fault of the brief, brought about. Invariants: when the script ends, every machine and server is back; what it
 * `meets` has come about by then, or the run has failed.
 */
export type Drill = {
  name: string;
  about: string;
  meets: readonly (keyof typeof Meets)[];
  run(s: Scene): Promise<void>;
};
