import { Day } from './day.js';
import { Deployments } from './deployments.js';
import { DiskPoints } from './diskpoints.js';
import { Drills } from './drills.js';
import { Explore } from './explore.js';
import type { Job } from './job.js';
import type { Ran } from './ran.js';
import { Stage } from './stage.js';

const points = async (j: Job): Promise<Ran> => {
  const [, job, way, reach] = j.drill.split(' ');
  const r = await DiskPoints.sweep(
    j.seed,
    job as Parameters<typeof DiskPoints.sweep>[1],
    way as Parameters<typeof DiskPoints.sweep>[2],
    reach === 'all',
  );
  return { deeds: [], ended: true, broken: r.broken, points: r.points };
};
const explore = async (j: Job): Promise<Ran> => {
  const r = await Explore.run(j.seed, Explore.acts(j.seed, j.faults));
  return { deeds: [], ended: true, broken: r.broken, points: Object.values(r.met).reduce((a, b) => a + b, 0) };
};

/** Makes one run. */
export const Work = {
  async run(j: Job): Promise<Ran> {
    if (j.drill.startsWith('points ')) return points(j);
    if (j.drill === 'explore') return explore(j);
    const script = j.drill === 'day' ? Day.script(j.fleet, j.faults) : Drills.get(j.drill)!.run;
    const r = await Stage.run(Deployments[j.fleet], j.seed, script);
    return { deeds: r.history.all, ended: r.ended, broken: null, points: 0 };
  },
};
