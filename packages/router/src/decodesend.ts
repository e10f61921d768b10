import type { Result } from '@pumicebarrow/forms';
import type { DecodeAttempt } from './decodeattempt.js';
import { FaultClassifier } from './faultclassifier.js';
import type { Job } from './job.js';
import type { RequestHandlerDependencies } from './requesthandlerdependencies.js';
import type { RunObserver } from './runobserver.js';
import type { SendFault } from './sendfault.js';
import { SilenceWatch } from './silencewatch.js';
import { Urgency } from './urgency.js';

/** Expected time between two events at an idle server, and what each concurrent run adds to it. */
const IDLE_EVENT_GAP_MS = 35;
const EVENT_GAP_PER_RUN_MS = 1.6;
/** A run counts towards the measured speed of its server only if it had more events than this. */
const MIN_EVENTS_FOR_SPEED = 3;

/**
 * Sends a request to a decode server and keeps account of it: loads, activity, speed and request log. Invariant: while
 * the run lasts, its server's load includes it, whatever the outcome.
 */
export const DecodeSend = {
  make(deps: RequestHandlerDependencies) {
    const now = (): number => deps.world.clock.mono();
    const watchForSilence = SilenceWatch.make(deps);
    const recordSpeed = (attempt: DecodeAttempt, startedAt: number, concurrentRuns: number): void => {
      if (attempt.events <= MIN_EVENTS_FOR_SPEED) return;
      const expectedGapMs = IDLE_EVENT_GAP_MS + concurrentRuns * EVENT_GAP_PER_RUN_MS;
      deps.slowdown.record(attempt.reserved.server.id, (now() - startedAt) / attempt.events, expectedGapMs);
    };
    const logRun = (job: Job, attempt: DecodeAttempt, tokens: number, runsAhead: number): void =>
      deps.requestLog.record(job.request.id, 'run', {
        at: attempt.reserved.server.id,
        word: job.handle?.server.id ?? '',
        tokens,
        ahead: runsAhead,
      });
    /** Sends the request, from its KV cache handle if it has one. `onLost` is called while the run seems to be lost. */
    return async (
      job: Job,
      attempt: DecodeAttempt,
      response: Omit<RunObserver, 'onActivity'>,
      onLost: () => void,
    ): Promise<Result<void, SendFault>> => {
      const { server } = attempt.reserved;
      const prompt = job.request.prompt;
      const tokensToRead = prompt && !job.handle ? deps.placement.tokensToRead(server, prompt) : 0;
      const endRun = deps.loads.beginRun(server.id);
      const endRead = deps.loads.beginRead(server.id, tokensToRead);
      const cancelAttempt = (): void => attempt.controller.abort('gone');
      job.cancellation.signal.addEventListener('abort', cancelAttempt);
      const watch = watchForSilence(job, server, onLost);
      const concurrentRuns = deps.loads.loadAt(server.id).runs;
      const startedAt = now();
      logRun(job, attempt, tokensToRead, concurrentRuns - 1);
      const handle = job.handle;
      job.handle = null;
      const readMs = tokensToRead / deps.prefillRate.tokensPerMs();
      const options = {
        ms: Math.max(1, job.deadline - startedAt),
        urgency: Urgency.levelOf({ aim: job.route.aim, rank: job.rank }, readMs, job.expedited),
        signal: attempt.controller.signal,
      };
      const result = await deps.engine.run(server, job.request, handle, job.lastEventId, options, {
        onActivity: watch.recordActivity,
        onHead: response.onHead,
        onEvent(id, bytes) {
          endRead();
          return response.onEvent(id, bytes);
        },
        onBody(bytes) {
          endRead();
          return response.onBody(bytes);
        },
      });
      watch.stop();
      deps.counters.count('runs', result.ok ? 'ok' : result.val.code);
      recordSpeed(attempt, startedAt, concurrentRuns);
      endRun();
      endRead();
      job.cancellation.signal.removeEventListener('abort', cancelAttempt);
      // A send that never arrived did not fetch the KV cache, so another server still can.
      if (handle && result.err && FaultClassifier.neverArrived(result.val)) job.handle = handle;
      return result;
    };
  },
};
