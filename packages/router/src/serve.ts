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

/** Less time than this is not worth a send. */
const LEAST_TIME = 30;
/** Seconds after which a refused request may come again. */
const RETRY_SOON = 0.15;
/** Seconds after which one that only this daemon can't take may come again: another takes it. */
const RETRY_ELSEWHERE = 0.02;
/** The part of the aim for which a request waits for a place, and how often that is looked at. */
const ROOM_WAIT = 0.2;
const POLL = 20;
const RETRY_LATER = 0.4;
/** ms after which the loads of all servers are asked for anew: before a reader is chosen, and before a run is sent. */
const LOADS_FOR_READING = 15;
const LOADS_FOR_RUNNING = 15;
/** ms that a request waits for what this daemon doesn't know yet: once it has served, and before that. */
const READY_WAIT = 150;
const FIRST_READY_WAIT = 500;

/**
 * One request, from its arrival to its answer, written straight down.
 * Invariants: nothing is sent while this daemon isn't sure of its configuration; a request is sent again only where
 * that can't run it twice, within the route's tries, and from the budget; the answer is given up on at once or goes on;
 * nothing is taken that its client may still wait for when this daemon ends.
 */
export const RequestHandler = {
  make(t: ServeTools) {
    const now = (): number => t.world.clock.mono();
    const read = Reader.make(t),
      run = DecodeRunner.make(t);
    const firsts = FirstTries.make();
    const refuse = (code: string, why: string): Verdict => Verdicts.not(code, why, RETRY_SOON);
    const accept = (request: Request, sink: AnswerSink): Job | Verdict => {
      const shut = t.unavailable();
      if (shut) return shut;
      const routes = t.routes();
      if (!routes) return refuse('noconfiguration', 'No configuration is in force yet.');
      const found = routes.find(request.host, request.path);
      if (!found) return Verdicts.not('unknownroute', `No route for ${request.host}${request.path}.`);
      if (RequestAuthentication.isKeyRequired(routes, found.route) && !t.keysCurrent())
        return refuse('keysunsure', 'Keys may have been taken away since this daemon last heard.');
      const holder = RequestAuthentication.authenticate(routes, found.route, request.key);
      if (holder.err) return holder.val;
      const tenant = holder.val;
      const service = routes.pickService(found, t.world.chance.real());
      if (!service) return refuse('noservice', `Route ${found.route.name} leads nowhere.`);
      const due = Math.min(request.due, now() + found.route.timeout);
      // No foresight bounds an answer that has begun: only the client's wait and the route's timeout do.
      if (t.remainingLifetimeMs() < due - now())
        return Verdicts.not('leaving', 'This daemon may end before it.', RETRY_ELSEWHERE);
      if (!t.list.young()) return refuse('oldlist', "The platform's list is too old to send by.");
      t.log.note(request.id, 'taken', {
        at: service.name,
        word: found.route.name,
        tokens: request.prompt?.tokens ?? 0,
        ...(tenant === null ? {} : { tenant: tenant.name }),
      });
      const left = new AbortController();
      sink.left(() => left.abort('gone'));
      return {
        ...{ request: RequestAuthentication.withoutCredentials(routes, request, tenant), writer: sink, service, left },
        ...{ route: found.route, rank: tenant?.rank ?? found.route.rank, lastEventId: request.after },
        isFirstTry: firsts.is(found.route, request.wait),
        ahead: false,
        due,
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
    let hasServed = false;
    const isReady = (): boolean => t.unavailable() === null && t.routes() !== null && t.list.young();
    /** Waits a little for the newest configuration and a young list; what is still missing then is told by `accept`. */
    const waitUntilReady = async (sink: AnswerSink): Promise<void> => {
      const until = now() + (hasServed ? READY_WAIT : FIRST_READY_WAIT);
      while (!isReady() && now() < until && !sink.gone()) await Timer.nap(t.world.clock, POLL);
      hasServed ||= isReady();
    };
    /** Seconds after which a request had better come back, because it would miss its aim now; null if it stays. */
    const deferral = (job: Job): number | null => {
      const p = job.request.prompt;
      if (!p) return null;
      job.weighed = t.placement.weigh(job.service, job.route, p, job.avoid);
      const { ms, alone } = job.weighed;
      const c = { foreseen: ms, alone, aim: job.route.aim, left: job.due - now(), first: job.isFirstTry };
      const wait = Deferral.of(c, t.world.chance.real());
      return wait === null ? null : wait / 1000;
    };
    /**
     * Whether the reading that waits before a request is too much for it, or for all: servers of either stage that are
     * given more than they can read would else spend themselves on requests whose clients have left.
     */
    const shed = (job: Job): boolean => {
      const reading = job.weighed?.reading;
      if (!reading || (!reading.beside && reading.own < Urgency.TINY)) return false;
      if (ReadDeadline.missed({ ...reading, aim: job.route.aim, left: job.due - now() })) return true;
      return !reading.beside && t.shedders.of(job.service.name).sheds(reading.waits);
    };
    /** Waits a little where every server is full; false if that did not help. */
    const waitForRoom = async (job: Job): Promise<boolean> => {
      const until = now() + job.route.aim * ROOM_WAIT;
      job.weighed = null;
      t.log.note(job.request.id, 'queued');
      while (!t.placement.room(job.service, job.request.prompt)) {
        if (now() >= until || job.left.signal.aborted) return false;
        await Timer.nap(t.world.clock, POLL);
      }
      return true;
    };
    /** Whether the key still serves its request; one that has come to another tenant serves it as that one's. */
    const keyServes = (job: Job): boolean => {
      const routes = t.routes();
      if (!routes?.tenants.keysRequired) return true;
      const holder = RequestAuthentication.authenticate(routes, job.route, job.request.key);
      if (holder.err) return false;
      job.request = RequestAuthentication.withoutCredentials(routes, job.request, holder.val);
      return true;
    };
    /** Reads and runs, again and again where that is safe, until there is an answer or no way on. */
    const readAndRun = async (job: Job): Promise<void> => {
      const p = job.request.prompt;
      for (;;) {
        if (job.left.signal.aborted || job.due - now() < LEAST_TIME || job.arrivals >= job.route.tries) return;
        if (!keyServes(job)) return;
        // A second read counts as a try, and so needs a third for the run itself.
        const may = job.reads === 0 || job.arrivals + 2 <= job.route.tries;
        if (!job.handle && may && p) await read(job);
        await t.broker.refresh(LOADS_FOR_RUNNING);
        if (job.left.signal.aborted || job.unpaid || job.arrivals >= job.route.tries) return;
        if (!keyServes(job)) return;
        if (await run(job)) return;
      }
    };
    const finish = (job: Job, verdict: Verdict): Verdict => {
      const { id } = job.request;
      t.log.note(id, 'done', { at: verdict.ran, word: verdict.code, why: verdict.why });
      t.counters.count('requests', verdict.code);
      t.world.tell({ what: 'request', key: id, ran: verdict.ran, code: verdict.code, route: job.route.name });
      return verdict;
    };
    const handle = async (job: Job, sink: AnswerSink): Promise<Verdict | null> => {
      t.budgets.of(job.service.name).request();
      if (job.request.prompt) await t.broker.refresh(LOADS_FOR_READING);
      const later = deferral(job);
      if (shed(job)) return finish(job, Verdicts.not('overload', 'Too much waits before it.', RETRY_LATER));
      job.ahead = !job.isFirstTry && !t.shedders.of(job.service.name).active();
      if (later !== null) return finish(job, Verdicts.not('deferred', 'It would be late now.', later));
      if (!t.placement.room(job.service, job.request.prompt) && !(await waitForRoom(job)))
        return finish(job, Verdicts.not('full', 'Every server is full.', RETRY_LATER));
      await readAndRun(job);
      if (job.handle) void t.engine.free(job.handle);
      if (job.responseStarted) {
        const whole = job.fault === null && job.arrivals > 0;
        if (whole) sink.end();
        else sink.cut();
        finish(job, whole ? Verdicts.ran('whole', 'Whole.') : Verdicts.maybe('cut', job.fault?.why ?? 'cut'));
        return null;
      }
      if (sink.gone()) return finish(job, Verdicts.maybe('gone', 'The client went.'));
      if (!job.mayHaveRun && !keyServes(job)) return finish(job, Verdicts.not('revokedkey', 'Its key was taken away.'));
      if (job.mayHaveRun) return finish(job, Verdicts.maybe('broken', job.fault?.why ?? 'It may have run.'));
      return finish(job, refuse('noserver', job.fault?.why ?? 'No server can take this now.'));
    };
    /** Null once the sink has had its answer; else why there is none, for the client to be told at once. */
    return async (request: Request, sink: AnswerSink): Promise<Verdict | null> => {
      await waitUntilReady(sink);
      const job = accept(request, sink);
      if ('ran' in job) {
        t.log.note(request.id, 'done', { at: job.ran, word: job.code, why: job.why });
        t.counters.count('requests', job.code);
        return job;
      }
      const { key } = job.request;
      const over = key === null || job.route.open === true ? null : t.revocation.track(key, job.left);
      const verdict = await handle(job, sink);
      over?.();
      return verdict;
    };
  },
};
