import type { Result } from '@pumicebarrow/forms';
import { Blame } from './blame.js';
import type { Heard } from './heard.js';
import type { Job } from './job.js';
import { Rounds } from './rounds.js';
import type { SendFault } from './sendfault.js';
import type { Server } from './server.js';
import type { ServeTools } from './servetools.js';
import { Urgency } from './urgency.js';

const SILENCE_CHECK_INTERVAL_MS = 100;
const SERVER_ERROR_STATUS = 500;
/** What clients take for the promise that a request has not run: unless the server's words say so, it may have. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 429, 503]);
/** ms without a byte from a server, while one is due, after which it is under suspicion. */
const SILENCE_LIMIT_MS = 900;
/** ms after which a request that may run again goes elsewhere: before its first event, and between events. */
const FIRST_EVENT_TIMEOUT_MS = 2200;
/** Runs at a server from which on it has much to do. */
const BUSY_RUNS = 8;
const NEXT_EVENT_TIMEOUT_MS = 1300;
/** ms between events of an idle server, and what each run beside adds. */
const IDLE_EVENT_GAP_MS = 35;
const EVENT_GAP_PER_RUN_MS = 1.6;
const MIN_EVENTS_FOR_SPEED = 3;

/**
 * A request is run by a server. Invariants: the list is looked at in the turn of the send; bytes go out only as whole
 * events, in the server's order; a second run goes on after the last event that went out, under the first head; a
 * status that promises what the server did not say of a request that may not run twice is never passed on.
 */
export const DecodeRunner = {
  make(deps: ServeTools) {
    const now = (): number => deps.world.clock.mono();
    const checkPeriodically = Rounds.make(deps.world.clock, SILENCE_CHECK_INTERVAL_MS);
    /** Whether another server may take it up once this one may have run it. */
    const mayRunAgain = (job: Job): boolean =>
      (job.route.resumable && job.route.kind === 'stream') || (job.route.kind === 'idempotent' && !job.responseStarted);
    /** Looks after a run: suspects a server that is silent, and gives up waiting where it may go on elsewhere. */
    const watchForSilence = (job: Job, server: Server, attempt: AbortController) => {
      let lastActivityAt = now();
      let suspicionReported = false;
      const stopWatching = checkPeriodically(() => {
        const silentMs = now() - lastActivityAt;
        if (silentMs > SILENCE_LIMIT_MS && deps.health.silent(server.id) > SILENCE_LIMIT_MS && !suspicionReported) {
          suspicionReported = true;
          deps.suspect(server, `silent for ${Math.round(silentMs)} ms`);
        }
        const timeoutMs = job.eventsSent > 0 ? NEXT_EVENT_TIMEOUT_MS : FIRST_EVENT_TIMEOUT_MS;
        // A server with much to do may be late with one; one with little to do, or wholly silent, has lost it.
        const requestLost =
          deps.health.silent(server.id) > SILENCE_LIMIT_MS || deps.loads.at(server.id).runs < BUSY_RUNS;
        if (mayRunAgain(job) && silentMs > timeoutMs && requestLost && job.arrivals < job.route.tries)
          attempt.abort('late');
      });
      return {
        recordActivity(): void {
          lastActivityAt = now();
          suspicionReported = false;
          deps.health.stir(server.id);
        },
        stop: stopWatching,
      };
    };
    const responseHandler = (job: Job, server: Server, recordActivity: () => void, endRead: () => void): Heard => ({
      stir: recordActivity,
      head(status, headers) {
        // A failure that the server tells of is an answer, but one that may run again goes elsewhere before it is told.
        if (status >= SERVER_ERROR_STATUS && mayRunAgain(job) && job.arrivals < job.route.tries) return false;
        if (NOT_RUN_STATUSES.has(status) && !mayRunAgain(job)) return false;
        if (job.responseStarted) return status === job.status;
        job.responseStarted = true;
        job.status = status;
        job.writer.head(status, headers);
        return true;
      },
      event(id, bytes) {
        endRead();
        if (id !== null) job.lastEventId = id;
        if (job.eventsSent === 0) deps.log.note(job.request.id, 'first', { at: server.id });
        job.eventsSent++;
        return job.writer.bytes(bytes);
      },
    });
    const send = async (job: Job, server: Server): Promise<Result<void, SendFault>> => {
      const prompt = job.request.prompt;
      const tokensToRead = prompt && !job.handle ? deps.placement.fresh(server, prompt) : 0;
      const endRun = deps.loads.run(server.id),
        endRead = deps.loads.read(server.id, tokensToRead);
      const attempt = new AbortController();
      const onClientGone = (): void => attempt.abort('gone');
      job.left.signal.addEventListener('abort', onClientGone);
      const watcher = watchForSilence(job, server, attempt);
      const concurrentRuns = deps.loads.at(server.id).runs;
      const eventsBefore = job.eventsSent;
      const startedAt = now();
      const handle = job.handle;
      deps.log.note(job.request.id, 'run', {
        at: server.id,
        word: handle?.server.id ?? '',
        tokens: tokensToRead,
        ahead: concurrentRuns - 1,
      });
      job.handle = null;
      const timeoutMs = Math.max(1, job.due - now());
      const options = {
        ms: timeoutMs,
        urgency: Urgency.of({ aim: job.route.aim, rank: job.rank }, tokensToRead / deps.pace.now(), job.ahead),
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
        deps.speed.note(
          server.id,
          (now() - startedAt) / newEvents,
          IDLE_EVENT_GAP_MS + concurrentRuns * EVENT_GAP_PER_RUN_MS,
        );
      endRun();
      endRead();
      job.left.signal.removeEventListener('abort', onClientGone);
      // A send that never arrived has taken nothing: the memory may still be fetched by another.
      if (result.err && Blame.neverArrived(result.val)) job.handle = handle;
      return result;
    };
    /** A handle that can't be had and a server that is full are told alike: the one that gave the handle is asked. */
    const handleRejection = (server: Server, fault: SendFault, handleOwner: Server | null): void => {
      if (!handleOwner || fault.code !== 'refused') deps.turned(server);
      else if (deps.health.lapse(handleOwner.id)) deps.suspect(handleOwner, 'its handles lapse');
    };
    const evaluateResult = (
      job: Job,
      server: Server,
      startedAt: number,
      handleOwner: Server | null,
      result: Result<void, SendFault>,
    ): boolean => {
      if (result.ok) {
        if (handleOwner) deps.health.fetched(handleOwner.id);
        if (job.request.prompt) deps.kept.note(server.id, job.request.prompt);
        job.fault = null;
        if (job.status >= SERVER_ERROR_STATUS) deps.suspect(server, `answered ${job.status}`);
        else deps.health.good(server.id, startedAt);
        return true;
      }
      const fault = result.val;
      job.fault = fault;
      deps.log.note(job.request.id, 'failed', { at: server.id, word: fault.code, why: fault.why });
      job.avoid.add(server.id);
      if (fault.code === 'gone' && job.left.signal.aborted) {
        // The client may still be there: its key was taken away.
        job.mayHaveRun ||= fault.ran !== 'no';
        return true;
      }
      if (Blame.neverArrived(fault)) job.arrivals--;
      if (Blame.turned(fault)) handleRejection(server, fault, handleOwner);
      if (fault.code === 'gone' || Blame.falls(fault, deps.health.silent(server.id), SILENCE_LIMIT_MS))
        deps.suspect(server, fault.why);
      if (fault.ran === 'no') return false;
      job.mayHaveRun = true;
      return !mayRunAgain(job);
    };
    /** Gives true once the job is over: whole, cut, or without a way on. */
    return async (job: Job): Promise<boolean> => {
      const server = deps.placement.decode(job.service, job.request.prompt, job.handle?.server ?? null, job.avoid);
      if (!server) return true;
      if (job.arrivals > 0 && !deps.budgets.of(job.service.name).take()) return true;
      job.arrivals++;
      const startedAt = now();
      const handleOwner = job.handle?.server ?? null;
      const endHealthTrial = deps.health.begin(server.id);
      const finished = evaluateResult(job, server, startedAt, handleOwner, await send(job, server));
      endHealthTrial();
      return finished;
    };
  },
};
