import type { Result } from '@pumicebarrow/forms';
import { FaultClassifier } from './faultclassifier.js';
import type { KvCacheHandle } from './kvcachehandle.js';
import type { Job } from './job.js';
import type { SendFault } from './sendfault.js';
import type { Server } from './server.js';
import type { RequestHandlerDependencies } from './requesthandlerdependencies.js';
import { Urgency } from './urgency.js';

/** Timeout of a read: this margin plus this multiple of the expected time. */
const TIMEOUT_MARGIN_MS = 1500;
const TIMEOUT_FACTOR = 3;
/** A server from which something was received more recently than this is busy, not gone. */
const SILENCE_MS = 1200;
/** Overhead of a read in addition to the reading itself, in ms. */
const READ_OVERHEAD_MS = 20;

/**
 * Has the prompt of a request read by a prefill server. Invariants: the server list is checked in the same event-loop
 * turn as the send; whatever the outcome, the request has not been executed; only the first read that a server took up
 * is exempt from the route's tries and the retry budget; if another send cannot be charged, nothing follows it.
 */
export const PrefillRunner = {
  make(deps: RequestHandlerDependencies) {
    const now = (): number => deps.world.clock.mono();
    /** Charges a read that may not have been taken up; if the budget cannot bear it, the job gets no further sends. */
    const chargeBudget = (job: Job): void => {
      const budget = deps.retryBudgets.of(job.service.name);
      if (budget.canCharge()) budget.charge();
      else job.budgetExhausted = true;
    };
    const handleFailure = (job: Job, server: Server, fault: SendFault): void => {
      job.lastFault = { ...fault, ran: 'no' };
      deps.requestLog.record(job.request.id, 'unread', { at: server.id, word: fault.code, why: fault.why });
      // A read that was cut or given up in the server's queue may never have been taken up, so it counts as any other
      // send.
      if (fault.code === 'late' || fault.code === 'broken' || fault.code === 'stale') chargeBudget(job);
      if (fault.code === 'gone') return;
      job.excludedServers.add(server.id);
      if (FaultClassifier.rejectedByServer(fault)) {
        job.countedSends++;
        deps.noteRejection(server);
      }
      if (FaultClassifier.countsAgainstServer(fault, deps.health.msSinceActivity(server.id), SILENCE_MS))
        deps.suspect(server, fault.why);
    };
    const send = async (job: Job, server: Server, fresh: number): Promise<Result<KvCacheHandle, SendFault>> => {
      const expectedMs = (deps.loads.loadAt(server.id).tokens + fresh) / deps.prefillRate.tokensPerMs();
      const timeoutMs = Math.max(1, Math.min(job.deadline - now(), TIMEOUT_MARGIN_MS + expectedMs * TIMEOUT_FACTOR));
      const alone = deps.loads.loadAt(server.id).reads === 0;
      const endRead = deps.loads.beginRead(server.id, fresh);
      const startedAt = now();
      const terms = {
        ms: timeoutMs,
        urgency: Urgency.levelOf(
          { aim: job.route.aim, rank: job.rank },
          fresh / deps.prefillRate.tokensPerMs(),
          job.expedited,
        ),
        signal: job.cancellation.signal,
      };
      const result = await deps.engine.prefill(server, job.request, terms);
      endRead();
      deps.counters.count('prefills', result.ok ? 'ok' : result.val.code);
      if (result.ok && alone) deps.prefillRate.observe(fresh, now() - startedAt);
      if (result.ok) {
        deps.slowdown.record(server.id, now() - startedAt, expectedMs + READ_OVERHEAD_MS);
        deps.prefillWait.record(now() - startedAt - expectedMs - READ_OVERHEAD_MS);
      }
      return result;
    };
    /** Stores a KV cache handle in the job, or the fault. */
    return async (job: Job): Promise<void> => {
      const prompt = job.request.prompt!;
      const { prefill: choice } =
        job.placementEstimate ?? deps.placement.evaluate(job.service, job.route, prompt, job.excludedServers);
      job.placementEstimate = null;
      if (!choice) {
        deps.requestLog.record(job.request.id, 'beside');
        return;
      }
      const { server, fresh } = choice;
      if (job.prefillAttempts > 0) {
        if (!deps.retryBudgets.of(job.service.name).tryTake()) return;
        job.countedSends++;
      }
      job.prefillAttempts++;
      const why = choice.home ? 'home' : '';
      deps.requestLog.record(job.request.id, 'prefill', {
        at: server.id,
        tokens: fresh,
        ahead: deps.loads.loadAt(server.id).tokens,
        why,
      });
      deps.prefixCache.record(server.id, prompt);
      const startedAt = now();
      const endRequest = deps.health.beginRequest(server.id);
      const result = await send(job, server, fresh);
      if (result.err) {
        handleFailure(job, server, result.val);
        endRequest();
        return;
      }
      deps.health.recordActivity(server.id);
      deps.health.recordSuccess(server.id, startedAt);
      job.handle = result.val;
      deps.requestLog.record(job.request.id, 'handle', {
        at: server.id,
        word: result.val.id,
        tokens: result.val.tokens,
      });
    };
  },
};
