import { CoreRun } from './corerun.js';
import { Day } from './day.js';
import { Deployments } from './deployments.js';
import { DiskPoints } from './diskpoints.js';
import { Alone } from './drills/alone.js';
import { Drills } from './drills.js';
import { Explore } from './explore.js';
import type { History } from './history.js';
import { LentWork } from './lending/lentwork.js';
import { Meets } from './meets.js';
import { BootstrapCheck } from './modelcheck/bootstrapcheck.js';
import { BootstrapSearches } from './modelcheck/bootstrapsearches.js';
import { ModelCheck } from './modelcheck/modelcheck.js';
import { ModelSearches } from './modelcheck/modelsearches.js';
import type { Job } from './job.js';
import type { Ran } from './ran.js';
import type { Scene } from './scene.js';
import { Stage } from './stage.js';

/** What came of a run that the core's own judge has judged. */
const judged = (broken: readonly string[], points: number, unmet: readonly string[] = []): Ran => ({
  ...{ deeds: [], ended: true, broken, points, unmet },
});
const points = async (j: Job): Promise<Ran> => {
  const [, job, way, reach] = j.drill.split(' ');
  const r = await DiskPoints.sweep(
    j.seed,
    job as Parameters<typeof DiskPoints.sweep>[1],
    way as Parameters<typeof DiskPoints.sweep>[2],
    reach === 'all',
  );
  return judged(r.broken, r.points);
};
/** A search of a model; the path to what it breaks is part of what is told. */
const model = (j: Job): Ran => {
  const name = j.drill.split(' ')[1] ?? '';
  const [reach, first] = [ModelSearches[name], BootstrapSearches[name]];
  const found = reach ? ModelCheck.run(reach) : first ? BootstrapCheck.run(first) : null;
  if (!found) return judged([`there is no search ${j.drill}`], 0);
  const broken = found.broken === null ? [] : [[found.broken, ...found.path].join('; ')];
  return judged(found.whole || broken.length > 0 ? broken : ['states were left out'], found.states);
};
const explore = async (j: Job): Promise<Ran> => {
  const r = await Explore.run(j.seed, Explore.acts(j.seed, j.faults));
  const acts = Object.values(r.met).reduce((a, b) => a + b, 0);
  return judged(r.broken, acts);
};
/** What the last fault of a run should have met and has not. */
const unmet = (h: ReturnType<typeof History.make>): string[] => {
  const fault = h.of('fault').findLast((d) => d['last'] === true);
  const since = h.all.filter((d) => fault && d.at >= fault.at);
  return (Drills.get(String(fault?.['name']))?.meets ?? ['none']).filter((m) => m === 'none' || Meets[m](since) === 0);
};
/** A drill of the core alone; it judges nothing unless its fault was met. */
const alone = async (j: Job): Promise<Ran | null> => {
  const drill = Alone.find((d) => d.name === j.drill);
  if (!drill) return null;
  let met = false;
  const r = await CoreRun.run(
    j.seed,
    async (s) => {
      await s.healed();
      met = await drill.run(s);
    },
    drill.size,
  );
  return judged(r.broken, 1, met ? [] : [drill.about]);
};

/** Makes one run. */
export const Work = {
  async run(j: Job): Promise<Ran> {
    if (j.drill.startsWith('points ')) return points(j);
    if (j.drill.startsWith('model ')) return model(j);
    if (j.drill === 'explore') return explore(j);
    const core = await alone(j);
    if (core) return core;
    const lent = await LentWork.run(j);
    if (lent) return lent;
    const script = j.drill === 'day' ? Day.script(j.fleet, j.faults) : (s: Scene) => Day.last(s, j.drill);
    const r = await Stage.run(Deployments[j.fleet], j.seed, script);
    return { deeds: r.history.all, ended: r.ended, broken: null, points: 0, unmet: unmet(r.history) };
  },
};
