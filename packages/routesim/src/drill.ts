import type { EngineModel } from './enginemodel.js';
import type { Scene } from './scene.js';
import type { Seen } from './seen.js';
import type { Size } from './size.js';

/** One trouble. Invariants: it lasts until its script ends; what it must bring about is seen, or the run has failed. */
export type Drill = {
  name: string;
  about: string;
  /** The model servers it is played with; small ones where it names none. */
  engine?: EngineModel;
  /** The fleet it needs; any, where it names none. */
  size?: Size;
  run(scene: Scene): Promise<void>;
  meets(seen: readonly Seen[]): boolean;
};
