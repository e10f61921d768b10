import type { Job } from './job.js';

/** Whether requests may run more than once. */
export const Repeatability = {
  /**
   * Whether another server may run the request although one may have run it. Once a response has started, only a stream
   * of events can be continued, and only after an event with an id.
   */
  mayRunAgain(job: Job): boolean {
    const isResumable = job.route.resumable && job.route.kind === 'stream';
    if (job.responseHead === null) return isResumable || job.route.kind === 'idempotent';
    return isResumable && job.responseHead.isEventStream && !job.sentEventWithoutId;
  },
};
