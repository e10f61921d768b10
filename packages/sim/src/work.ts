import { Day } from './day.js';
import { Deployments } from './deployments.js';
import { Drills } from './drills.js';
import type { Job } from './job.js';
import { Stage } from './stage.js';

/** Makes one run. */
export const Work = {
  run: (j: Job) => Stage.run(Deployments[j.fleet], j.seed, (s) => (j.drill === 'day' ? Day.run(s, j.fleet, j.faults) : Drills.get(j.drill)!.run(s))),
};
