import type { Result } from '@pumicebarrow/forms';
import { FaultClassifier } from './faultclassifier.js';
import type { RunObserver } from './runobserver.js';
import type { Job } from './job.js';
import { PeriodicChecks } from './periodicchecks.js';
import type { SendFault } from './sendfault.js';
import type { Server } from './server.js';
import type { RequestHandlerDependencies } from './requesthandlerdependencies.js';
import { Urgency } from './urgency.js';

/** How often runs in progress are checked for silence. */
const SILENCE_CHECK_INTERVAL_MS = 100;
const SERVER_ERROR_STATUS = 500;
/**
 * Statuses that clients take as a promise that the request did not run. A status alone proves nothing: unless the
 * server says explicitly that it did not run the request, it may have.
 */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 429, 503]);
/** A server that owes a response and sends no byte for this long is suspected. */
const SILENCE_LIMIT_MS = 900;
/** A request that may run again is moved to another server if its first event takes longer than this. */
const FIRST_EVENT_TIMEOUT_MS = 2200;
/** From this many runs on a server counts as busy. */
const BUSY_RUNS = 8;
/** Like FIRST_EVENT_TIMEOUT_MS, for the time between two events. */
const NEXT_EVENT_TIMEOUT_MS = 1300;
/** Expected time between two events at an idle server, and what each concurrent run adds to it. */
const IDLE_EVENT_GAP_MS = 35;
const EVENT_GAP_PER_RUN_MS = 1.6;
/** A run counts towards the measured speed of its server only if it had more events than this. */
const MIN_EVENTS_FOR_SPEED = 3;

/**
 * Runs a request on a decode server. Invariants: the server list is consulted in the same turn of the event loop as the
 * send; bytes go to the client only as whole events, in the server's order; a second run resumes after the last event
 * sent, under the original response head; for a request that must not run twice, a status that clients take as a
 * promise that it did not run is never passed on unless the server said so.
 */
export const DecodeRunner = {
  make(deps: RequestHandlerDependencies) {
    const now = (): number => deps.world.clock.mono();
    const checkPeriodically = PeriodicChecks.make(deps.world.clock, SILENCE_CHECK_INTERVAL_MS);
    /** Whether another server may run the request although this one may have run it. */
    const mayRunAgain = (job: Job): boolean =>
      (job.route.resumable && job.route.kind === 'stream') || (job.route.kind === 'idempotent' && !job.responseStarted);
    /** Watches a run: suspects a silent server, and aborts the attempt if the request may continue elsewhere. */
    const watchForSilence = (job: Job, server: Server, attempt: AbortController) => {
      let lastActivityAt = now();
      let suspicionReported = false;
      const stopWatching = checkPeriodically(() => {
        const silentMs = now() - lastActivityAt;
        if (
          silentMs > SILENCE_LIMIT_MS &&
          deps.health.msSinceActivity(server.id) > SILENCE_LIMIT_MS &&
          !suspicionReported
        ) {
          suspicionReported = true;
          deps.suspect(server, `silent for ${Math.round(silentMs)} ms`);
        }
        const timeoutMs = job.eventsSent > 0 ? NEXT_EVENT_TIMEOUT_MS : FIRST_EVENT_TIMEOUT_MS;
        // A busy server may just be late with one request; an idle or entirely silent one has lost it.
        const requestLost =
          deps.health.msSinceActivity(server.id) > SILENCE_LIMIT_MS || deps.loads.loadAt(server.id).runs < BUSY_RUNS;
        if (mayRunAgain(job) && silentMs > timeoutMs && requestLost && job.countedSends < job.route.tries)
          attempt.abort('late');
      });
      return {
        recordActivity(): void {
          lastActivityAt = now();
          suspicionReported = false;
          deps.health.recordActivity(server.id);
        },
        stop: stopWatching,
      };
    };
    const responseHandler = (
      job: Job,
      server: Server,
      recordActivity: () => void,
      endRead: () => void,
    ): RunObserver => ({
      onActivity: recordActivity,
      onHead(status, headers) {
        // A server error is a response, but a request that may run again is tried elsewhere before it is passed on.
        if (status >= SERVER_ERROR_STATUS && mayRunAgain(job) && job.countedSends < job.route.tries) return false;
        if (NOT_RUN_STATUSES.has(status) && !mayRunAgain(job)) return false;
        if (job.responseStarted) return status === job.status;
        job.responseStarted = true;
        job.status = status;
        job.writer.writeHead(status, headers);
        return true;
      },
      onEvent(id, bytes) {
        endRead();
        if (id !== null) job.lastEventId = id;
        if (job.eventsSent === 0) deps.requestLog.record(job.request.id, 'first', { at: server.id });
        job.eventsSent++;
        return job.writer.write(bytes);
      },
    });
    const send = async (job: Job, server: Server): Promise<Result<void, SendFault>> => {
      const prompt = job.request.prompt;
      const tokensToRead = prompt && !job.handle ? deps.placement.tokensToRead(server, prompt) : 0;
      const endRun = deps.loads.beginRun(server.id),
        endRead = deps.loads.beginRead(server.id, tokensToRead);
      const attempt = new AbortController();
      const cancelAttempt = (): void => attempt.abort('gone');
      job.cancellation.signal.addEventListener('abort', cancelAttempt);
      const watcher = watchForSilence(job, server, attempt);
      const concurrentRuns = deps.loads.loadAt(server.id).runs;
      const eventsBefore = job.eventsSent;
      const startedAt = now();
      const handle = job.handle;
      deps.requestLog.record(job.request.id, 'run', {
        at: server.id,
        word: handle?.server.id ?? '',
        tokens: tokensToRead,
        ahead: concurrentRuns - 1,
      });
      job.handle = null;
      const timeoutMs = Math.max(1, job.deadline - now());
      const options = {
        ms: timeoutMs,
        urgency: Urgency.levelOf(
          { aim: job.route.aim, rank: job.rank },
          tokensToRead / deps.prefillRate.tokensPerMs(),
          job.expedited,
        ),
        signal: attempt.signal,
      };
      const result = await deps.engine.run(
        server,
        job.request,
        handle,
        job.lastEventId,
        options,
        responseHandler(job, server, watcher.recordActivity, endRead),
      );
      watcher.stop();
      deps.counters.count('runs', result.ok ? 'ok' : result.val.code);
      const newEvents = job.eventsSent - eventsBefore;
      if (newEvents > MIN_EVENTS_FOR_SPEED)
        deps.slowdown.record(
          server.id,
          (now() - startedAt) / newEvents,
          IDLE_EVENT_GAP_MS + concurrentRuns * EVENT_GAP_PER_RUN_MS,
        );
      endRun();
      endRead();
      job.cancellation.signal.removeEventListener('abort', cancelAttempt);
      // A send that never arrived did not fetch the KV cache, so another server still can.
      if (result.err && FaultClassifier.neverArrived(result.val)) job.handle = handle;
      return result;
    };
    /**
     * A server gives the same answer when it is full and when it could not fetch the handle. Where a handle was sent,
     * the rejection is therefore counted against the server that holds it.
     */
    const handleRejection = (server: Server, fault: SendFault, handleOwner: Server | null): void => {
      if (!handleOwner || fault.code !== 'refused') deps.noteRejection(server);
      else if (deps.health.recordHandleLoss(handleOwner.id)) deps.suspect(handleOwner, 'its handles lapse');
    };
    const evaluateResult = (
      job: Job,
      server: Server,
      startedAt: number,
      handleOwner: Server | null,
      result: Result<void, SendFault>,
    ): boolean => {
      if (result.ok) {
        if (handleOwner) deps.health.recordHandleFetched(handleOwner.id);
        if (job.request.prompt) deps.prefixCache.record(server.id, job.request.prompt);
        job.lastFault = null;
        if (job.status >= SERVER_ERROR_STATUS) deps.suspect(server, `answered ${job.status}`);
        else deps.health.recordSuccess(server.id, startedAt);
        return true;
      }
      const fault = result.val;
      job.lastFault = fault;
      deps.requestLog.record(job.request.id, 'failed', { at: server.id, word: fault.code, why: fault.why });
      job.excludedServers.add(server.id);
      if (fault.code === 'gone' && job.cancellation.signal.aborted) {
        // The client may still be connected if the cause is that its key was revoked.
        job.mayHaveRun ||= fault.ran !== 'no';
        return true;
      }
      if (FaultClassifier.neverArrived(fault)) job.countedSends--;
      if (FaultClassifier.rejectedByServer(fault)) handleRejection(server, fault, handleOwner);
      if (
        fault.code === 'gone' ||
        FaultClassifier.countsAgainstServer(fault, deps.health.msSinceActivity(server.id), SILENCE_LIMIT_MS)
      )
        deps.suspect(server, fault.why);
      if (fault.ran === 'no') return false;
      job.mayHaveRun = true;
      return !mayRunAgain(job);
    };
    /** Sends the request once; returns true when it is finished: complete, aborted, or out of options. */
    return async (job: Job): Promise<boolean> => {
      const server = deps.placement.chooseDecode(
        job.service,
        job.request.prompt,
        job.handle?.server ?? null,
        job.excludedServers,
      );
      if (!server) return true;
      if (job.countedSends > 0 && !deps.retryBudgets.of(job.service.name).tryTake()) return true;
      job.countedSends++;
      const startedAt = now();
      const handleOwner = job.handle?.server ?? null;
      const endHealthTrial = deps.health.beginRequest(server.id);
      const finished = evaluateResult(job, server, startedAt, handleOwner, await send(job, server));
      endHealthTrial();
      return finished;
    };
  },
};
