import { availableParallelism } from 'node:os';
import { Worker, isMainThread, parentPort } from 'node:worker_threads';
import type { Job } from './job.js';
import { Report } from './report.js';
import { Work } from './work.js';
import { History } from './history.js';
import type { Deed } from '@pumicebarrow/forms';

type Back = { job: Job; deeds: readonly Deed[]; ended: boolean };

/** Shares runs out over worker threads; what comes of a run does not depend on which thread made it. */
export const Crew = {
  async run(jobs: readonly Job[], done: (b: Back) => void, hands = availableParallelism()): Promise<void> {
    const rest = [...jobs];
    await Promise.all(Array.from({ length: Math.min(hands, rest.length) }, () => new Promise<void>((end, fail) => {
      const w = new Worker(new URL('./hand.js', import.meta.url));
      const next = (): void => {
        const j = rest.shift();
        if (j) w.postMessage(j);
        else void w.terminate().then(() => end());
      };
      w.on('message', (b: Back) => { done(b); next(); });
      w.on('error', fail);
      next();
    })));
  },
  /** A worker's side. */
  serve(): void {
    if (isMainThread || !parentPort) return;
    const port = parentPort;
    port.on('message', (j: Job) => {
      void Work.run(j).then((r) => port.postMessage({ job: j, deeds: r.history.all, ended: r.ended } satisfies Back));
    });
  },
  /** Runs the jobs and judges them. */
  async report(jobs: readonly Job[], tick: (j: Job, bad: number) => void) {
    const report = Report.make();
    const unfinished: Job[] = [];
    await Crew.run(jobs, (b) => {
      if (!b.ended) unfinished.push(b.job);
      tick(b.job, report.add(b.job.seed, `${b.job.fleet} ${b.job.drill}`, History.make(b.deeds)));
    });
    return { report, unfinished };
  },
};
