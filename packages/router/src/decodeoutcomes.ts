import { FaultClassifier } from './faultclassifier.js';
import type { Job } from './job.js';
import { Repeatability } from './repeatability.js';
import type { RequestHandlerDependencies } from './requesthandlerdependencies.js';
import type { ReservedSend } from './reservedsend.js';
import type { SendFault } from './sendfault.js';
import type { SendReservations } from './sendreservations.js';
import type { Server } from './server.js';
import { SilenceWatch } from './silencewatch.js';

const SERVER_ERROR_STATUS = 500;

/** Notes how runs ended: at the request, in the health of servers and in what the run has cost. */
export const DecodeOutcomes = {
  SERVER_ERROR_STATUS,
  make(deps: RequestHandlerDependencies, sends: ReturnType<typeof SendReservations.make>) {
    /**
     * A server gives the same answer when it is full and when it could not fetch the handle. Where a handle was sent,
     * the rejection is therefore counted against the server that holds it.
     */
    const handleRejection = (server: Server, fault: SendFault, handleOwner: Server | null): void => {
      if (!handleOwner || fault.code !== 'refused') deps.noteRejection(server);
      else if (deps.health.recordHandleLoss(handleOwner.id)) deps.suspect(handleOwner, 'its handles lapse');
    };
    const isServerAtFault = (server: Server, fault: SendFault): boolean =>
      fault.code === 'gone' ||
      FaultClassifier.countsAgainstServer(fault, deps.health.msSinceActivity(server.id), SilenceWatch.SILENCE_LIMIT_MS);
    return {
      recordSuccess(job: Job, server: Server, startedAt: number, handleOwner: Server | null): void {
        if (handleOwner) deps.health.recordHandleFetched(handleOwner.id);
        if (job.request.prompt) deps.prefixCache.record(server.id, job.request.prompt);
        const status = job.responseHead?.status ?? 0;
        if (status >= SERVER_ERROR_STATUS) deps.suspect(server, `answered ${status}`);
        else deps.health.recordSuccess(server.id, startedAt);
      },
      /** Returns whether this failure leaves the request without any option. */
      recordFailure(job: Job, reserved: ReservedSend, fault: SendFault, handleOwner: Server | null): boolean {
        const { server } = reserved;
        deps.requestLog.record(job.request.id, 'failed', { at: server.id, word: fault.code, why: fault.why });
        job.excludedServers.add(server.id);
        if (fault.code === 'gone' && job.cancellation.signal.aborted) {
          // The client may still be connected if the cause is that its key was revoked.
          job.mayHaveRun ||= fault.ran !== 'no';
          return true;
        }
        if (FaultClassifier.neverArrived(fault)) sends.release(job, reserved);
        if (FaultClassifier.rejectedByServer(fault)) handleRejection(server, fault, handleOwner);
        if (isServerAtFault(server, fault)) deps.suspect(server, fault.why);
        if (fault.ran === 'no') return false;
        job.mayHaveRun = true;
        return !Repeatability.mayRunAgain(job);
      },
    };
  },
};
