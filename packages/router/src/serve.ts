import { Timer, Verdicts, type Verdict } from '@pumicebarrow/forms';
import type { AnswerSink } from './answersink.js';
import { Deferral } from './deferral.js';
import { FirstTries } from './firsttries.js';
import type { Job } from './job.js';
import { RequestAuthentication } from './keycheck.js';
import { Reader } from './reader.js';
import { ReadDeadline } from './readdeadline.js';
import type { Request } from './request.js';
import { DecodeRunner } from './runner.js';
import type { ServeTools } from './servetools.js';
import { Urgency } from './urgency.js';

/** A request with less time left than this is not sent. */
const MIN_SEND_TIME_MS = 30;
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
  make(deps: ServeTools) {
    const now = (): number => deps.world.clock.mono();
    const prefill = Reader.make(deps),
      decode = DecodeRunner.make(deps);
    const firstAttempts = FirstTries.make();
    const refuse = (code: string, why: string): Verdict => Verdicts.not(code, why, RETRY_SOON_S);
    const accept = (request: Request, writer: AnswerSink): Job | Verdict => {
      const unavailable = deps.unavailable();
      if (unavailable) return unavailable;
      const routes = deps.routes();
      if (!routes) return refuse('noconfiguration', 'No configuration is in force yet.');
      const match = routes.find(request.host, request.path);
      if (!match) return Verdicts.not('unknownroute', `No route for ${request.host}${request.path}.`);
      if (RequestAuthentication.isKeyRequired(routes, match.route) && !deps.keysCurrent())
        return refuse(
          'keysunsure',
          'API keys may have been revoked since this daemon last confirmed its configuration.',
        );
      const authenticated = RequestAuthentication.authenticate(routes, match.route, request.key);
      if (authenticated.err) return authenticated.val;
      const tenant = authenticated.val;
      const service = routes.pickService(match, deps.world.chance.real());
      if (!service) return refuse('noservice', `Route ${match.route.name} has no service with a positive weight.`);
      const deadline = Math.min(request.due, now() + match.route.timeout);
      // No estimate bounds how long a response takes: only the client's deadline and the route's timeout do.
      if (deps.remainingLifetimeMs() < deadline - now())
        return Verdicts.not('leaving', 'This daemon may shut down before the request completes.', RETRY_ELSEWHERE_S);
      if (!deps.serverList.young())
        return refuse('oldlist', "The platform's server list is too old to route requests by.");
      deps.log.note(request.id, 'taken', {
        at: service.name,
        word: match.route.name,
        tokens: request.prompt?.tokens ?? 0,
        ...(tenant === null ? {} : { tenant: tenant.name }),
      });
      const cancellation = new AbortController();
      writer.left(() => cancellation.abort('gone'));
      return {
        ...{
          request: RequestAuthentication.withoutCredentials(routes, request, tenant),
          writer,
          service,
          left: cancellation,
        },
        ...{ route: match.route, rank: tenant?.rank ?? match.route.rank, lastEventId: request.after },
        isFirstTry: firstAttempts.is(match.route, request.wait),
        ahead: false,
        due: deadline,
        ...{
          arrivals: 0,
          reads: 0,
          unpaid: false,
          weighed: null,
          eventsSent: 0,
          handle: null,
          responseStarted: false,
          status: 0,
          mayHaveRun: false,
          fault: null,
        },
        avoid: new Set(),
      };
    };
    let wasReady = false;
    const isReady = (): boolean => deps.unavailable() === null && deps.routes() !== null && deps.serverList.young();
    /** Waits briefly for a confirmed configuration and a fresh list; `accept` reports what is still missing then. */
    const waitUntilReady = async (writer: AnswerSink): Promise<void> => {
      const until = now() + (wasReady ? READY_WAIT_MS : FIRST_READY_WAIT_MS);
      while (!isReady() && now() < until && !writer.gone()) await Timer.nap(deps.world.clock, POLL_INTERVAL_MS);
      wasReady ||= isReady();
    };
    /** Seconds after which a request that would miss its latency aim now should be retried; null to serve it now. */
    const retryDelaySeconds = (job: Job): number | null => {
      const prompt = job.request.prompt;
      if (!prompt) return null;
      job.weighed = deps.placement.weigh(job.service, job.route, prompt, job.avoid);
      const { ms, alone } = job.weighed;
      const deferralCase = { foreseen: ms, alone, aim: job.route.aim, left: job.due - now(), first: job.isFirstTry };
      const delayMs = Deferral.of(deferralCase, deps.world.chance.real());
      return delayMs === null ? null : delayMs / 1000;
    };
    /**
     * Whether the prefill backlog is too long for this request, or for all. Otherwise overloaded servers of either
     * stage would spend their time on requests whose clients have already disconnected.
     */
    const shouldShed = (job: Job): boolean => {
      const backlog = job.weighed?.reading;
      if (!backlog || (!backlog.beside && backlog.own < Urgency.TINY)) return false;
      if (ReadDeadline.missed({ ...backlog, aim: job.route.aim, left: job.due - now() })) return true;
      return !backlog.beside && deps.shedders.of(job.service.name).sheds(backlog.waits);
    };
    /** Waits briefly while every server is full; false if none had a free slot in time. */
    const waitForRoom = async (job: Job): Promise<boolean> => {
      const until = now() + job.route.aim * ROOM_WAIT_AIM_FRACTION;
      job.weighed = null;
      deps.log.note(job.request.id, 'queued');
      while (!deps.placement.room(job.service, job.request.prompt)) {
        if (now() >= until || job.left.signal.aborted) return false;
        await Timer.nap(deps.world.clock, POLL_INTERVAL_MS);
      }
      return true;
    };
    /**
     * Whether the request's key is still valid; if it now belongs to another tenant, the request becomes that tenant's.
     */
    const isKeyStillValid = (job: Job): boolean => {
      const routes = deps.routes();
      if (!routes?.tenants.keysRequired) return true;
      const authenticated = RequestAuthentication.authenticate(routes, job.route, job.request.key);
      if (authenticated.err) return false;
      job.request = RequestAuthentication.withoutCredentials(routes, job.request, authenticated.val);
      return true;
    };
    /** Prefills and runs the request, with retries where that is safe, until it is answered or no option is left. */
    const prefillAndDecode = async (job: Job): Promise<void> => {
      const prompt = job.request.prompt;
      for (;;) {
        if (job.left.signal.aborted || job.due - now() < MIN_SEND_TIME_MS || job.arrivals >= job.route.tries) return;
        if (!isKeyStillValid(job)) return;
        // A second prefill counts as a try, so it needs another try to be left for the run itself.
        const mayPrefill = job.reads === 0 || job.arrivals + 2 <= job.route.tries;
        if (!job.handle && mayPrefill && prompt) await prefill(job);
        await deps.loadAggregator.refresh(DECODE_LOAD_MAX_AGE_MS);
        if (job.left.signal.aborted || job.unpaid || job.arrivals >= job.route.tries) return;
        if (!isKeyStillValid(job)) return;
        if (await decode(job)) return;
      }
    };
    const finish = (job: Job, verdict: Verdict): Verdict => {
      const { id } = job.request;
      deps.log.note(id, 'done', { at: verdict.ran, word: verdict.code, why: verdict.why });
      deps.counters.count('requests', verdict.code);
      deps.world.tell({ what: 'request', key: id, ran: verdict.ran, code: verdict.code, route: job.route.name });
      return verdict;
    };
    const serveJob = async (job: Job, writer: AnswerSink): Promise<Verdict | null> => {
      deps.budgets.of(job.service.name).request();
      if (job.request.prompt) await deps.loadAggregator.refresh(PREFILL_LOAD_MAX_AGE_MS);
      const delaySeconds = retryDelaySeconds(job);
      if (shouldShed(job))
        return finish(job, Verdicts.not('overload', 'Too much work is queued ahead of the request.', RETRY_LATER_S));
      job.ahead = !job.isFirstTry && !deps.shedders.of(job.service.name).active();
      if (delaySeconds !== null)
        return finish(job, Verdicts.not('deferred', 'The request would miss its latency aim now.', delaySeconds));
      if (!deps.placement.room(job.service, job.request.prompt) && !(await waitForRoom(job)))
        return finish(job, Verdicts.not('full', 'Every server is full.', RETRY_LATER_S));
      await prefillAndDecode(job);
      if (job.handle) void deps.engine.free(job.handle);
      if (job.responseStarted) {
        const complete = job.fault === null && job.arrivals > 0;
        if (complete) writer.end();
        else writer.cut();
        finish(job, complete ? Verdicts.ran('whole', 'Whole.') : Verdicts.maybe('cut', job.fault?.why ?? 'cut'));
        return null;
      }
      if (writer.gone()) return finish(job, Verdicts.maybe('gone', 'The client disconnected.'));
      if (!job.mayHaveRun && !isKeyStillValid(job))
        return finish(job, Verdicts.not('revokedkey', 'The API key of the request was revoked.'));
      if (job.mayHaveRun) return finish(job, Verdicts.maybe('broken', job.fault?.why ?? 'The request may have run.'));
      return finish(job, refuse('noserver', job.fault?.why ?? 'No server can take the request now.'));
    };
    /** Returns null once the response has been written; otherwise the verdict that the client is to be given. */
    return async (request: Request, writer: AnswerSink): Promise<Verdict | null> => {
      await waitUntilReady(writer);
      const job = accept(request, writer);
      if ('ran' in job) {
        deps.log.note(request.id, 'done', { at: job.ran, word: job.code, why: job.why });
        deps.counters.count('requests', job.code);
        return job;
      }
      const { key: keyDigest } = job.request;
      const stopTracking =
        keyDigest === null || job.route.open === true ? null : deps.revocation.track(keyDigest, job.left);
      const verdict = await serveJob(job, writer);
      stopTracking?.();
      return verdict;
    };
  },
};
