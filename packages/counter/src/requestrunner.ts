import { Hash, Verdicts, type Ident, type NamedRoute, type Verdict } from '@pumicebarrow/forms';
import { interpret } from 'robot3';
import type { ResponseWriter } from './responsewriter.js';
import { PrefillRunner } from './prefillrunner.js';
import type { RequestRunnerDependencies } from './requestrunnerdependencies.js';
import { RetryPolicy } from './retrypolicy.js';
import type { InFlightRequest } from './inflightrequest.js';
import type { ClientRequest } from './clientrequest.js';
import { RequestStateMachine } from './requeststatemachine.js';
import { DecodeRunner } from './decoderunner.js';

type AdmittedTurn = { settled: () => void; over: () => void };
type LedgerRecord = { owners: readonly Ident[]; digest: string };
/** `ran`: the answer was streamed to its end. */
type Outcome = { verdict: Verdict; ran: boolean };
const MAX_RETRY_AFTER_S = 15;
const noRoomInTime = (estimatedWaitMs: number): Verdict =>
  Verdicts.notRun(
    'late',
    'No server had room in time.',
    Math.min(MAX_RETRY_AFTER_S, Math.max(1, Math.ceil(estimatedWaitMs / 1000))),
  );

/**
 * Runs one request from admission to its outcome.
 * Invariants: nothing is sent while this daemon has not confirmed that its configuration is the newest; every send is
 * preceded, in the same event-loop turn, by a check against a fresh server list, and has a bound derived from the age
 * of that list, after which the server rejects it; a request is sent again only on proof that it has not run, and each
 * retry takes a token from the retry budget; the response writer receives exactly one outcome.
 */
export const RequestRunner = {
  make(deps: RequestRunnerDependencies) {
    const { world, witness } = deps;
    const now = (): number => world.clock.mono();
    const retryPolicy = RetryPolicy.make(deps);
    const prefill = PrefillRunner.make(deps, retryPolicy),
      decode = DecodeRunner.make(deps, retryPolicy);
    const lateVerdict = (route: NamedRoute): Verdict => noRoomInTime(deps.queue.estimateWaitMs(route.urgency));

    /** Runs prefill and decode of a request marked as sent, with safe retries, until it completes or is given up. */
    const runToEnd = async (
      request: ClientRequest,
      route: NamedRoute,
      writer: ResponseWriter,
      deadline: number,
      releaseReservation: () => void,
    ): Promise<Outcome> => {
      const stateMachine = interpret(RequestStateMachine, () => undefined);
      const prefix = Hash.ofText(request.prefix);
      const inFlight: InFlightRequest = {
        ...{
          request,
          route,
          writer,
          deadline,
          releaseReservation,
          stateMachine,
          prefix,
          failure: lateVerdict(route),
        },
        excludedServers: new Set(),
        handle: null,
        prefillServer: null,
      };
      const state = (): string => stateMachine.machine.current;
      stateMachine.send('turn');
      stateMachine.send('marked');
      while (state() === 'reading' || state() === 'handing')
        await (state() === 'reading' ? prefill(inFlight) : decode(inFlight));
      releaseReservation();
      if (state() === 'ended') return { verdict: Verdicts.ran('ran', 'The answer is whole.'), ran: true };
      return { verdict: inFlight.failure, ran: false };
    };
    const recordOutcome = (request: ClientRequest, verdict: Verdict): void =>
      world.recordEvent({
        what: 'visit',
        key: request.key,
        attempt: request.attempt,
        ran: verdict.ran,
        code: verdict.code,
      });
    const finish = (request: ClientRequest, writer: ResponseWriter, verdict: Verdict): Verdict => {
      recordOutcome(request, verdict);
      if (verdict.code === 'cut') writer.abort(verdict);
      else writer.refuse(verdict);
      return verdict;
    };
    /** The request got no turn, or was not marked as sent in time: closes the attempt before the client is told. */
    const closeUnmarked = async (
      request: ClientRequest,
      route: NamedRoute,
      record: LedgerRecord,
      turn: AdmittedTurn | null,
      marked: boolean,
    ): Promise<Verdict> => {
      turn?.settled();
      turn?.over();
      await witness.close(request, record.owners, record.digest);
      deps.grantTurns();
      return turn && !marked
        ? Verdicts.notRun('noledger', 'The request could not be marked as sent.', 1)
        : lateVerdict(route);
    };

    return async (request: ClientRequest, writer: ResponseWriter): Promise<Verdict> => {
      const route = deps.admission.check(request);
      if (route.err) {
        await witness.closeRefused(request);
        return finish(request, writer, route.val);
      }
      deps.retryBudget.recordRequest();
      world.recordEvent({ what: 'gated', key: request.key, attempt: request.attempt, rule: route.val.name });
      const deadline = now() + route.val.deadline;
      const queued = deps.queue.enter(route.val, deadline);
      const record = await witness.open(request);
      if (record.rejection) {
        queued.leave();
        return finish(request, writer, record.rejection);
      }
      const { owners, digest } = record;
      world.recordEvent({
        what: 'recorded',
        key: request.key,
        attempt: request.attempt,
        owners: owners.map((o) => o.id),
      });
      deps.grantTurns();
      const granted = await queued.turn;
      const turn = granted ? deps.admission.begin(route.val) : null;
      const marked = turn && !writer.isClientGone() ? await witness.markSent(request, owners, digest) : false;
      if (!turn || !marked || now() >= deadline)
        return finish(request, writer, await closeUnmarked(request, route.val, record, turn, marked));
      const outcome = await runToEnd(request, route.val, writer, deadline, turn.settled);
      turn.over();
      deps.grantTurns();
      if (outcome.ran) {
        void witness.markRan(request, owners, digest);
        recordOutcome(request, outcome.verdict);
        return outcome.verdict;
      }
      if (outcome.verdict.ran === 'no') await witness.close(request, owners, digest);
      return finish(request, writer, outcome.verdict);
    };
  },
};
