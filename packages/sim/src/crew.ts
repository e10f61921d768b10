import { availableParallelism } from 'node:os';
import { Worker, isMainThread, parentPort } from 'node:worker_threads';
import type { Guard } from './guard.js';
import { History } from './history.js';
import type { Job } from './job.js';
import type { Ran } from './ran.js';
import { Report } from './report.js';
import { Work } from './work.js';

type Back = Ran & { job: Job };
/** How many threads: as many as there are cores, unless whoever runs several crews says how many each may have. */
const hands = (): number => Number(process.env['PUMICEBARROW_HANDS']) || availableParallelism();

/**
 * Shares runs out over worker threads; what comes of a run does not depend on which thread made it.
 * With a guard, the workers load the daemons' code with that one guard taken out.
 */
export const Crew = {
  async run(jobs: readonly Job[], done: (b: Back) => void, guard: Guard | null = null): Promise<void> {
    const rest = [...jobs];
    await Promise.all(
      Array.from(
        { length: Math.min(hands(), rest.length) },
        () =>
          new Promise<void>((end, fail) => {
            const w = new Worker(new URL('./hand.js', import.meta.url), { workerData: { guard } });
            const next = (): void => {
              const j = rest.shift();
              if (j) w.postMessage(j);
              else void w.terminate().then(() => end());
            };
            w.on('message', (b: Back) => {
              done(b);
              next();
            });
            w.on('error', fail);
            next();
          }),
      ),
    );
  },
  /** A worker's side. */
  serve(): void {
    if (isMainThread || !parentPort) return;
    const port = parentPort;
    port.on('message', (j: Job) => {
      void Work.run(j).then((r) => port.postMessage({ job: j, ...r } satisfies Back));
    });
  },
  /** Runs the jobs and judges them. */
  async report(jobs: readonly Job[], tick: (j: Job, bad: number) => void, guard: Guard | null = null) {
    const report = Report.make();
    const unfinished: Job[] = [];
    const core: { job: Job; why: readonly string[] }[] = [];
    const unmet: { job: Job; what: readonly string[] }[] = [];
    let points = 0;
    await Crew.run(
      jobs,
      (b) => {
        points += b.points;
        if (b.unmet.length > 0) unmet.push({ job: b.job, what: b.unmet });
        if (!b.ended) unfinished.push(b.job);
        if (b.broken && b.broken.length > 0) core.push({ job: b.job, why: b.broken });
        tick(
          b.job,
          b.broken ? b.broken.length : report.add(b.job.seed, `${b.job.fleet} ${b.job.drill}`, History.make(b.deeds)),
        );
      },
      guard,
    );
    return { report, unfinished, core, points, unmet };
  },
};
