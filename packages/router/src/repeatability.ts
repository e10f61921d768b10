import type { Job } from './job.js';

/** Whether requests may run more than once. */
export const Repeatability = {
  /** Whether another server may run the request although one may have run it. */
  mayRunAgain: (job: Job): boolean =>
    (job.route.resumable && job.route.kind === 'stream') || (job.route.kind === 'idempotent' && !job.responseStarted),
};
