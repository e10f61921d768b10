import type { Result } from '@pumicebarrow/forms';
import { AttemptGroup } from './attemptgroup.js';
import type { DecodeAttempt } from './decodeattempt.js';
import { DecodeOutcomes } from './decodeoutcomes.js';
import { DecodeSend } from './decodesend.js';
import type { Job } from './job.js';
import { Repeatability } from './repeatability.js';
import type { RequestHandlerDependencies } from './requesthandlerdependencies.js';
import type { ReservedSend } from './reservedsend.js';
import type { RunObserver } from './runobserver.js';
import type { SendFault } from './sendfault.js';
import type { SendReservations } from './sendreservations.js';

/**
 * Statuses that clients take as a promise that the request did not run. A status alone proves nothing: unless the
 * server says explicitly that it did not run the request, it may have.
 */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 429, 503]);

/**
 * Runs a request on a decode server. While a run that may be repeated is silent, a second server gets the request too;
 * the first of the two to send an event goes on, and only then is the other ended. Invariants: no run is given up
 * before another has taken its place; the server list is consulted in the same turn of the event loop as the send;
 * bytes go to the client only as whole events, in the server's order; a second run resumes after the last event sent,
 * under the original response head; for a request that must not run twice, a status that clients take as a promise that
 * it did not run is never passed on unless the server said so.
 */
export const DecodeRunner = {
  make(deps: RequestHandlerDependencies, sends: ReturnType<typeof SendReservations.make>) {
    const send = DecodeSend.make(deps);
    const outcomes = DecodeOutcomes.make(deps, sends);
    /** Runs the request until one run has decided about it; returns true when it is finished. */
    const runUntilDecided = async (job: Job, first: ReservedSend): Promise<boolean> => {
      const group = AttemptGroup.make(job);
      const runs: Promise<void>[] = [];
      let finished = true;
      /** Sends the request to another server as well, if that is allowed now; the other runs go on meanwhile. */
      const startSuccessor = (): boolean => {
        const reserved = sends.reserve(job, group.servers());
        if (reserved) start(reserved);
        return reserved !== null;
      };
      /** Whether a server error is dropped because another server runs the request instead. */
      const isErrorReplaced = (attempt: DecodeAttempt, status: number): boolean => {
        if (status < DecodeOutcomes.SERVER_ERROR_STATUS || !Repeatability.mayRunAgain(job)) return false;
        if (!group.isLast(attempt)) return true;
        attempt.replaced = startSuccessor();
        return attempt.replaced;
      };
      const responseOf = (attempt: DecodeAttempt): Omit<RunObserver, 'onActivity'> => ({
        onHead(head) {
          if (attempt.replaced || isErrorReplaced(attempt, head.status)) return false;
          if (NOT_RUN_STATUSES.has(head.status) && !Repeatability.mayRunAgain(job)) return false;
          return group.acceptHead(attempt, head);
        },
        onEvent(id, bytes) {
          if (attempt.replaced) return false;
          group.continueWith(attempt);
          if (id === null) job.sentEventWithoutId = true;
          else job.lastEventId = id;
          if (job.eventsSent === 0) deps.requestLog.record(job.request.id, 'first', { at: attempt.reserved.server.id });
          job.eventsSent++;
          attempt.events++;
          return job.writer.write(bytes);
        },
        onBody(bytes) {
          if (attempt.replaced) return false;
          group.continueWith(attempt);
          return job.writer.write(bytes);
        },
      });
      /** Judges the outcome of a run; that of the last one left decides whether the request is finished. */
      const settle = (attempt: DecodeAttempt, result: Result<void, SendFault>, recordSuccess: () => void): void => {
        const isDecisive = !attempt.replaced && (result.ok || group.isLast(attempt));
        if (isDecisive && result.ok) group.continueWith(attempt);
        if (isDecisive) job.lastFault = result.ok ? null : result.val;
        if (result.ok) recordSuccess();
        const isOutOfOptions =
          result.ok || outcomes.recordFailure(job, attempt.reserved, result.val, attempt.handleOwner);
        if (isDecisive) finished = isOutOfOptions;
      };
      const run = async (attempt: DecodeAttempt): Promise<void> => {
        const { server } = attempt.reserved;
        const startedAt = deps.world.clock.mono();
        const endHealthTrial = deps.health.beginRequest(server.id);
        const result = await send(job, attempt, responseOf(attempt), () => {
          if (group.isNewest(attempt) && Repeatability.mayRunAgain(job)) startSuccessor();
        });
        group.remove(attempt);
        settle(attempt, result, () => outcomes.recordSuccess(job, server, startedAt, attempt.handleOwner));
        endHealthTrial();
      };
      const start = (reserved: ReservedSend): void => {
        const attempt = {
          ...{ reserved, handleOwner: job.handle?.server ?? null, controller: new AbortController() },
          ...{ events: 0, heldHead: null, replaced: false },
        };
        group.add(attempt);
        runs.push(run(attempt));
      };
      start(first);
      // Successors that are started meanwhile are appended.
      for (const ended of runs) await ended;
      return finished;
    };
    /** Sends the request if that is allowed; returns true when it is finished: complete, aborted, or out of options. */
    return async (job: Job): Promise<boolean> => {
      const reserved = sends.reserve(job);
      return reserved === null || runUntilDecided(job, reserved);
    };
  },
};
