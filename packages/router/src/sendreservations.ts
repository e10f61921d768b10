import type { Job } from './job.js';
import { JobKey } from './jobkey.js';
import type { RequestHandlerDependencies } from './requesthandlerdependencies.js';
import type { ReservedSend } from './reservedsend.js';
import type { Server } from './server.js';

/** A request with less time left than this is not sent. */
const MIN_SEND_TIME_MS = 30;
/** A retry budget below this level covers no further send. */
const ONE_RETRY = 1;

/**
 * Decides whether a request may be sent to a decode server now, and pays for it. Invariants: a send is reserved only if
 * client, deadline, key, tries, retry budget and a ready server of a fresh list all allow it in the same turn of the
 * event loop; what a send that never arrived has cost is given back.
 */
export const SendReservations = {
  make(deps: RequestHandlerDependencies) {
    /** Whether the request may be sent anywhere once more, as far as that depends on the request itself. */
    const maySend = (job: Job): boolean =>
      !job.cancellation.signal.aborted &&
      !job.budgetExhausted &&
      job.deadline - deps.world.clock.mono() >= MIN_SEND_TIME_MS &&
      job.countedSends < job.route.tries &&
      JobKey.refresh(deps.routes(), job);
    return {
      maySend,
      /** Reserves a send to a server other than those in `busy`; null if the request cannot be sent now. */
      reserve(job: Job, busy: Iterable<Server> = []): ReservedSend | null {
        if (!maySend(job)) return null;
        const budget = deps.retryBudgets.of(job.service.name);
        const isRetry = job.countedSends > 0;
        if (isRetry && budget.level() < ONE_RETRY) return null;
        const excluded = new Set(job.excludedServers);
        for (const server of busy) excluded.add(server.id);
        const prefillServer = job.handle?.server ?? null;
        const server = deps.placement.chooseDecode(job.service, job.request.prompt, prefillServer, excluded);
        if (!server || (isRetry && !budget.tryTake())) return null;
        job.countedSends++;
        return { server, isRetry };
      },
      /** Gives back what a send has cost that never arrived. */
      release(job: Job, reserved: ReservedSend): void {
        job.countedSends--;
        if (reserved.isRetry) deps.retryBudgets.of(job.service.name).giveBack();
      },
    };
  },
};
