import { Hash, Verdicts, type Ident, type Rule, type Verdict } from '@pumicebarrow/forms';
import { interpret } from 'robot3';
import type { CallerSink } from './callersink.js';
import { PrefillRunner } from './reading.js';
import type { RunTools } from './runtools.js';
import { RetryPolicy } from './tries.js';
import type { Trip } from './trip.js';
import type { Request } from './request.js';
import { RequestLife } from './requestlife.js';
import { DecodeRunner } from './writing.js';

type AdmittedTurn = { settled: () => void; over: () => void };
type LedgerRecord = { owners: readonly Ident[]; digest: string };
/** `ran`: the answer was streamed to its end. */
type Outcome = { verdict: Verdict; ran: boolean };
const MAX_RETRY_AFTER_S = 15;
const noRoomInTime = (estimatedWaitMs: number): Verdict =>
  Verdicts.not(
    'late',
    'No server had free capacity in time.',
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
  make(deps: RunTools) {
    const { world, witness } = deps;
    const now = (): number => world.clock.mono();
    const retryPolicy = RetryPolicy.make(deps);
    const prefill = PrefillRunner.make(deps, retryPolicy),
      decode = DecodeRunner.make(deps, retryPolicy);
    const lateVerdict = (route: Rule): Verdict => noRoomInTime(deps.queue.foresee(route.urgency));

    /** Runs prefill and decode of a request marked as sent, with safe retries, until it completes or is given up. */
    const runToEnd = async (
      request: Request,
      route: Rule,
      writer: CallerSink,
      deadline: number,
      releaseReservation: () => void,
    ): Promise<Outcome> => {
      const stateMachine = interpret(RequestLife, () => undefined);
      const prefix = Hash.text(request.prefix);
      const inFlight: Trip = {
        ...{
          v: request,
          rule: route,
          sink: writer,
          due: deadline,
          settled: releaseReservation,
          life: stateMachine,
          prefix,
          why: lateVerdict(route),
        },
        avoid: new Set(),
        handle: null,
        reader: null,
      };
      const state = (): string => stateMachine.machine.current;
      stateMachine.send('turn');
      stateMachine.send('marked');
      while (state() === 'reading' || state() === 'handing')
        await (state() === 'reading' ? prefill(inFlight) : decode(inFlight));
      releaseReservation();
      if (state() === 'ended') return { verdict: Verdicts.ran('ran', 'The answer is complete.'), ran: true };
      return { verdict: inFlight.why, ran: false };
    };
    const recordOutcome = (request: Request, verdict: Verdict): void =>
      world.tell({ what: 'visit', key: request.key, attempt: request.attempt, ran: verdict.ran, code: verdict.code });
    const finish = (request: Request, writer: CallerSink, verdict: Verdict): Verdict => {
      recordOutcome(request, verdict);
      if (verdict.code === 'cut') writer.cut(verdict);
      else writer.refuse(verdict);
      return verdict;
    };
    /** The request got no turn, or was not marked as sent in time: closes the attempt before the client is told. */
    const closeUnmarked = async (
      request: Request,
      route: Rule,
      record: LedgerRecord,
      turn: AdmittedTurn | null,
      marked: boolean,
    ): Promise<Verdict> => {
      turn?.settled();
      turn?.over();
      await witness.close(request, record.owners, record.digest);
      deps.grantTurns();
      return turn && !marked
        ? Verdicts.not('noledger', 'The request could not be marked as sent.', 1)
        : lateVerdict(route);
    };

    return async (request: Request, writer: CallerSink): Promise<Verdict> => {
      const route = deps.admission.check(request);
      if (route.err) {
        await witness.closeRefused(request);
        return finish(request, writer, route.val);
      }
      deps.retryBudget.request();
      world.tell({ what: 'gated', key: request.key, attempt: request.attempt, rule: route.val.name });
      const deadline = now() + route.val.deadline;
      const queued = deps.queue.enter(route.val, deadline);
      const record = await witness.open(request);
      if (record.rejection) {
        queued.leave();
        return finish(request, writer, record.rejection);
      }
      const { owners, digest } = record;
      world.tell({ what: 'recorded', key: request.key, attempt: request.attempt, owners: owners.map((o) => o.id) });
      deps.grantTurns();
      const granted = await queued.turn;
      const turn = granted ? deps.admission.begin(route.val) : null;
      const marked = turn && !writer.gone() ? await witness.markSent(request, owners, digest) : false;
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
