import { Timer, Verdicts, type Verdict } from '@pumicebarrow/forms';
import type { ResponseWriter } from './responsewriter.js';
import { Deferral } from './deferral.js';
import { FirstAttempts } from './firstattempts.js';
import type { Job } from './job.js';
import { JobKey } from './jobkey.js';
import { RequestAuthentication } from './requestauthentication.js';
import { PrefillRunner } from './prefillrunner.js';
import { PrefillDeadline } from './prefilldeadline.js';
import type { ClientRequest } from './clientrequest.js';
import { DecodeRunner } from './decoderunner.js';
import type { RequestHandlerDependencies } from './requesthandlerdependencies.js';
import { SendReservations } from './sendreservations.js';
import { Urgency } from './urgency.js';

/** Retry-after of a refused request. */
const RETRY_SOON_S = 0.15;
/** Retry-after of a request that only this daemon cannot take: another router can take it at once. */
const RETRY_ELSEWHERE_S = 0.02;
/** How long a request waits for a free slot, as a fraction of its latency aim. */
const ROOM_WAIT_AIM_FRACTION = 0.2;
/** How often a waiting request is checked again. */
const POLL_INTERVAL_MS = 20;
/** Retry-after of a request that is rejected because the servers are overloaded. */
const RETRY_LATER_S = 0.4;
/** The loads of all servers are queried again if older than this before a prefill server is chosen. */
const PREFILL_LOAD_MAX_AGE_MS = 15;
/** Like PREFILL_LOAD_MAX_AGE_MS, before a request is sent to a decode server. */
const DECODE_LOAD_MAX_AGE_MS = 15;
/** How long a request waits for a daemon that is not ready: after it has been ready once, and before that. */
const READY_WAIT_MS = 150;
const FIRST_READY_WAIT_MS = 500;

/**
 * Handles one request from its arrival to the response. Invariants: nothing is sent while this daemon's configuration
 * is not confirmed; a request is sent again only if that cannot run it twice, within the route's tries and the retry
 * budget; a response that has started either continues or is aborted at once; no request is accepted whose client may
 * still be waiting when this daemon ends.
 */
export const RequestHandler = {
  make(deps: RequestHandlerDependencies) {
    const now = (): number => deps.world.clock.mono();
    const sends = SendReservations.make(deps);
    const prefill = PrefillRunner.make(deps);
    const decode = DecodeRunner.make(deps, sends);
    const firstAttempts = FirstAttempts.make();
    const refuse = (code: string, why: string): Verdict => Verdicts.notRun(code, why, RETRY_SOON_S);
    const accept = (request: ClientRequest, writer: ResponseWriter): Job | Verdict => {
      const unavailable = deps.unavailable();
      if (unavailable) return unavailable;
      const routes = deps.routes();
      if (!routes) return refuse('noconfiguration', 'No configuration is in force yet.');
      const match = routes.find(request.host, request.path);
      if (!match) return Verdicts.notRun('unknownroute', `No route for ${request.host}${request.path}.`);
      if (RequestAuthentication.isKeyRequired(routes, match.route) && !deps.keysCurrent())
        return refuse('keysunsure', 'Keys may have been taken away since this daemon last heard.');
      const authenticated = RequestAuthentication.authenticate(routes, match.route, request.keyDigest);
      if (authenticated.err) return authenticated.val;
      const tenant = authenticated.val;
      const service = routes.pickService(match, deps.world.random.real());
      if (!service) return refuse('noservice', `Route ${match.route.name} leads nowhere.`);
      const deadline = Math.min(request.deadline, now() + match.route.timeout);
      // No estimate bounds how long a response takes: only the client's deadline and the route's timeout do.
      if (deps.remainingLifetimeMs() < deadline - now())
        return Verdicts.notRun('leaving', 'This daemon may end before it.', RETRY_ELSEWHERE_S);
      if (!deps.serverList.isFresh()) return refuse('oldlist', "The platform's list is too old to send by.");
      deps.requestLog.record(request.id, 'taken', {
        at: service.name,
        word: match.route.name,
        tokens: request.prompt?.tokens ?? 0,
        ...(tenant === null ? {} : { tenant: tenant.name }),
      });
      const cancellation = new AbortController();
      writer.onClientGone(() => cancellation.abort('gone'));
      return {
        ...{
          request: RequestAuthentication.withoutCredentials(routes, request, tenant),
          writer,
          service,
          cancellation,
        },
        ...{ route: match.route, rank: tenant?.rank ?? match.route.rank, lastEventId: request.lastEventId },
        isFirstTry: firstAttempts.isFirst(match.route, request.clientTimeoutMs),
        expedited: false,
        deadline,
        ...{
          countedSends: 0,
          prefillAttempts: 0,
          budgetExhausted: false,
          placementEstimate: null,
          eventsSent: 0,
          handle: null,
          responseHead: null,
          sentEventWithoutId: false,
          mayHaveRun: false,
          lastFault: null,
        },
        excludedServers: new Set(),
      };
    };
    let wasReady = false;
    const isReady = (): boolean => deps.unavailable() === null && deps.routes() !== null && deps.serverList.isFresh();
    /** Waits briefly for a confirmed configuration and a fresh list; `accept` reports what is still missing then. */
    const waitUntilReady = async (writer: ResponseWriter): Promise<void> => {
      const until = now() + (wasReady ? READY_WAIT_MS : FIRST_READY_WAIT_MS);
      while (!isReady() && now() < until && !writer.isClientGone())
        await Timer.sleep(deps.world.clock, POLL_INTERVAL_MS);
      wasReady ||= isReady();
    };
    /** Seconds after which a request that would miss its latency aim now should be retried; null to serve it now. */
    const retryDelaySeconds = (job: Job): number | null => {
      const prompt = job.request.prompt;
      if (!prompt) return null;
      job.placementEstimate = deps.placement.evaluate(job.service, job.route, prompt, job.excludedServers);
      const { firstEventMs: ms, uncontendedMs: alone } = job.placementEstimate;
      const deferralCase = {
        expectedMs: ms,
        alone,
        aim: job.route.aim,
        remainingMs: job.deadline - now(),
        first: job.isFirstTry,
      };
      const delayMs = Deferral.retryDelayMs(deferralCase, deps.world.random.real());
      return delayMs === null ? null : delayMs / 1000;
    };
    /**
     * Whether the prefill backlog is too long for this request, or for all. Otherwise overloaded servers of either
     * stage would spend their time on requests whose clients have already disconnected.
     */
    const shouldShed = (job: Job): boolean => {
      const backlog = job.placementEstimate?.backlog;
      if (!backlog || (!backlog.atDecodeServer && backlog.ownMs < Urgency.TINY_READ_MS)) return false;
      if (PrefillDeadline.wouldMiss({ ...backlog, aim: job.route.aim, remainingMs: job.deadline - now() })) return true;
      return !backlog.atDecodeServer && deps.shedders.of(job.service.name).shouldShed(backlog.queuedMs);
    };
    /** Waits briefly while every server is full; false if none had a free slot in time. */
    const waitForRoom = async (job: Job): Promise<boolean> => {
      const until = now() + job.route.aim * ROOM_WAIT_AIM_FRACTION;
      job.placementEstimate = null;
      deps.requestLog.record(job.request.id, 'queued');
      while (!deps.placement.hasRoom(job.service, job.request.prompt)) {
        if (now() >= until || job.cancellation.signal.aborted) return false;
        await Timer.sleep(deps.world.clock, POLL_INTERVAL_MS);
      }
      return true;
    };
    /** Prefills and runs the request, with retries where that is safe, until it is answered or no option is left. */
    const prefillAndDecode = async (job: Job): Promise<void> => {
      const prompt = job.request.prompt;
      while (sends.maySend(job)) {
        // A second prefill counts as a try, so it needs another try to be left for the run itself.
        const mayPrefill = job.prefillAttempts === 0 || job.countedSends + 2 <= job.route.tries;
        if (!job.handle && mayPrefill && prompt) await prefill(job);
        await deps.loadAggregator.refresh(DECODE_LOAD_MAX_AGE_MS);
        if (await decode(job)) return;
      }
    };
    const finish = (job: Job, verdict: Verdict): Verdict => {
      const { id } = job.request;
      deps.requestLog.record(id, 'done', { at: verdict.ran, word: verdict.code, why: verdict.why });
      deps.counters.count('requests', verdict.code);
      deps.world.recordEvent({ what: 'request', key: id, ran: verdict.ran, code: verdict.code, route: job.route.name });
      return verdict;
    };
    const serveJob = async (job: Job, writer: ResponseWriter): Promise<Verdict | null> => {
      deps.retryBudgets.of(job.service.name).recordRequest();
      if (job.request.prompt) await deps.loadAggregator.refresh(PREFILL_LOAD_MAX_AGE_MS);
      const delaySeconds = retryDelaySeconds(job);
      if (shouldShed(job)) return finish(job, Verdicts.notRun('overload', 'Too much waits before it.', RETRY_LATER_S));
      job.expedited = !job.isFirstTry && !deps.shedders.of(job.service.name).isActive();
      if (delaySeconds !== null) return finish(job, Verdicts.notRun('deferred', 'It would be late now.', delaySeconds));
      if (!deps.placement.hasRoom(job.service, job.request.prompt) && !(await waitForRoom(job)))
        return finish(job, Verdicts.notRun('full', 'Every server is full.', RETRY_LATER_S));
      await prefillAndDecode(job);
      if (job.handle) void deps.engine.releaseHandle(job.handle);
      if (job.responseHead) {
        const complete = job.lastFault === null && job.countedSends > 0;
        if (complete) writer.end();
        else writer.abort();
        finish(job, complete ? Verdicts.ran('whole', 'Whole.') : Verdicts.maybeRun('cut', job.lastFault?.why ?? 'cut'));
        return null;
      }
      if (writer.isClientGone()) return finish(job, Verdicts.maybeRun('gone', 'The client went.'));
      if (!job.mayHaveRun && !JobKey.refresh(deps.routes(), job))
        return finish(job, Verdicts.notRun('revokedkey', 'Its key was taken away.'));
      if (job.mayHaveRun) return finish(job, Verdicts.maybeRun('broken', job.lastFault?.why ?? 'It may have run.'));
      return finish(job, refuse('noserver', job.lastFault?.why ?? 'No server can take this now.'));
    };
    /** Returns null once the response has been written; otherwise the verdict that the client is to be given. */
    return async (request: ClientRequest, writer: ResponseWriter): Promise<Verdict | null> => {
      await waitUntilReady(writer);
      const job = accept(request, writer);
      if ('ran' in job) {
        deps.requestLog.record(request.id, 'done', { at: job.ran, word: job.code, why: job.why });
        deps.counters.count('requests', job.code);
        return job;
      }
      const { keyDigest } = job.request;
      const stopTracking =
        keyDigest === null || job.route.open === true ? null : deps.revocation.track(keyDigest, job.cancellation);
      const verdict = await serveJob(job, writer);
      stopTracking?.();
      return verdict;
    };
  },
};
