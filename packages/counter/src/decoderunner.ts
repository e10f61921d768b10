import { Timer, Verdicts, type Result } from '@pumicebarrow/forms';
import type { ModelServerFault } from './modelserverfault.js';
import type { ExecutionBound } from './executionbound.js';
import type { KvCacheHandle } from './kvcachehandle.js';
import type { ListedServer } from './listedserver.js';
import type { RequestRunnerDependencies } from './requestrunnerdependencies.js';
import { StreamValidator } from './streamvalidator.js';
import type { RetryPolicy } from './retrypolicy.js';
import type { InFlightRequest } from './inflightrequest.js';
import { Urgency } from './urgency.js';

type Validator = ReturnType<typeof StreamValidator.make>;
type ReservedServer = { server: ListedServer; release: () => void };
type StreamLine = Parameters<Validator['check']>[0];
const MIN_IDLE_TIMEOUT_MS = 2500;
const MAX_IDLE_TIMEOUT_MS = 4000;
const POLL_INTERVAL_MS = 20;
const brokenStream = (reason: string): ModelServerFault => ({ ran: 'maybe', code: 'broken', dark: false, why: reason });

/**
 * Runs the decode of a request and streams the answer to the client. Invariants: the server list is checked in the same
 * event-loop turn as the send; a server's capacity is reserved in the instant in which it is found; the request is sent
 * again only on proof that this attempt has not run, and never once a piece has arrived; only the next piece of this
 * request and this incarnation of the server is passed on.
 */
export const DecodeRunner = {
  make(deps: RequestRunnerDependencies, retryPolicy: ReturnType<typeof RetryPolicy.make>) {
    const { world, loads } = deps;
    const now = (): number => world.clock.mono();
    /** Waits in the queue of requests that have a handle, most urgent first, and reserves a decode server. */
    const reserveServer = async (inFlight: InFlightRequest): Promise<ReservedServer | null> => {
      const choose = (excluded: ReadonlySet<string>): ListedServer | null =>
        deps.choice.decode(inFlight.route, inFlight.prefillServer!, excluded);
      for (;;) {
        const queued = deps.decodeQueue.enter(inFlight.route, inFlight.deadline);
        deps.grantTurns();
        if (!(await queued.turn) || inFlight.writer.isClientGone()) return null;
        const server = retryPolicy.pickServer(inFlight, choose);
        if (server) return { server, release: loads.reserve(server.id, inFlight.route.weight) };
        await Timer.sleep(world.clock, POLL_INTERVAL_MS);
      }
    };
    const onFirstPiece = (inFlight: InFlightRequest, server: ListedServer, startedAtMs: number): void => {
      loads.recordHandover(inFlight.prefillServer!.id, server.id, now() - startedAtMs);
      world.recordEvent({
        what: 'streams',
        key: inFlight.request.key,
        attempt: inFlight.request.attempt,
        server: server.id,
      });
    };
    /** Passes pieces on as they arrive; an invalid line ends the stream and is kept in `violation`. */
    const streamReceiver = (inFlight: InFlightRequest, server: ListedServer, validator: Validator) => {
      const startedAtMs = now();
      const receiver = {
        violation: null as string | null,
        onLine(line: StreamLine): boolean {
          if (receiver.violation !== null) return false;
          const result = validator.check(line);
          if (!result.ok) {
            receiver.violation = result.reason;
            return false;
          }
          if (result.n !== undefined) {
            if (result.n === 1) onFirstPiece(inFlight, server, startedAtMs);
            inFlight.stateMachine.send('piece');
            inFlight.writer.writePiece(result.n, result.text!);
          } else if (result.end) {
            inFlight.stateMachine.send('whole');
            inFlight.writer.end(result.end.count, result.end.digest);
          }
          return !inFlight.writer.isClientGone();
        },
      };
      return receiver;
    };
    /** The stream stopped before its end: the request is retried if it provably did not run, else given up. */
    const onIncomplete = (
      inFlight: InFlightRequest,
      server: ListedServer,
      fault: ModelServerFault,
      pieceCount: number,
    ): void => {
      if (fault.ran === 'no' && pieceCount === 0) {
        const mayRetry = retryPolicy.tryRetryAfter(inFlight, fault, server);
        inFlight.stateMachine.send(fault.code === 'lapsed' ? 'lapse' : 'unrun');
        if (!mayRetry) inFlight.stateMachine.send('give');
        return;
      }
      if (fault.dark) deps.sighted(server);
      inFlight.failure =
        pieceCount > 0
          ? Verdicts.maybeRun('cut', `The answer was cut after ${pieceCount} pieces: ${fault.why}`)
          : Verdicts.maybeRun('mayhaverun', `${server.id}: ${fault.why}`);
      inFlight.stateMachine.send('give');
    };
    const faultOf = (got: Result<unknown, ModelServerFault>, violation: string | null): ModelServerFault => {
      if (violation !== null) return brokenStream(violation);
      return got.ok ? brokenStream('the stream stopped before its end') : got.val;
    };
    const send = async (
      inFlight: InFlightRequest,
      server: ListedServer,
      handle: KvCacheHandle,
      bound: ExecutionBound,
    ): Promise<void> => {
      const { key, attempt } = inFlight.request,
        { pieces, weight } = inFlight.route;
      inFlight.stateMachine.send('send');
      world.recordEvent({ what: 'send', part: 'decode', server: server.id, key, attempt });
      const validator = StreamValidator.make({ key, attempt, born: server.born });
      const receiver = streamReceiver(inFlight, server, validator);
      const job = { key, attempt, ...Urgency.of(deps), ...bound, handle, pieces, weight };
      const ms = Math.max(MIN_IDLE_TIMEOUT_MS, Math.min(MAX_IDLE_TIMEOUT_MS, inFlight.deadline - now()));
      const reply = await deps.back.decode(server.addr, job, ms, (line) => receiver.onLine(line));
      if (inFlight.stateMachine.machine.current !== 'ended')
        onIncomplete(inFlight, server, faultOf(reply, receiver.violation), validator.count());
    };
    return async (inFlight: InFlightRequest): Promise<void> => {
      deps.demand.write += inFlight.route.weight;
      const reserved = await reserveServer(inFlight);
      const bound = retryPolicy.executionBound(reserved?.server ?? null);
      if (reserved && inFlight.handle && bound && !inFlight.writer.isClientGone())
        await send(inFlight, reserved.server, inFlight.handle, bound);
      else inFlight.stateMachine.send('give');
      reserved?.release();
      deps.demand.write -= inFlight.route.weight;
      deps.grantTurns();
    };
  },
};
