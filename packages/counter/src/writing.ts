import { Timer, Verdicts, type Result } from '@pumicebarrow/forms';
import type { BackFault } from './backfault.js';
import type { Bound } from './bound.js';
import type { Handle } from './handle.js';
import type { Listed } from './listed.js';
import type { RunTools } from './runtools.js';
import { StreamValidator } from './streamcheck.js';
import type { RetryPolicy } from './tries.js';
import type { Trip } from './trip.js';
import { Urgency } from './urgency.js';

type Validator = ReturnType<typeof StreamValidator.make>;
type ReservedServer = { server: Listed; release: () => void };
type StreamLine = Parameters<Validator['check']>[0];
const MIN_IDLE_TIMEOUT_MS = 2500;
const MAX_IDLE_TIMEOUT_MS = 4000;
const POLL_INTERVAL_MS = 20;
const brokenStream = (reason: string): BackFault => ({ ran: 'maybe', code: 'broken', dark: false, why: reason });

/**
 * Runs the decode of a request and streams the answer to the client. Invariants: the server list is checked in the same
 * event-loop turn as the send; a server's capacity is reserved in the instant in which it is found; the request is sent
 * again only on proof that this attempt has not run, and never once a piece has arrived; only the next piece of this
 * request and this incarnation of the server is passed on.
 */
export const DecodeRunner = {
  make(deps: RunTools, retryPolicy: ReturnType<typeof RetryPolicy.make>) {
    const { world, loads } = deps;
    const now = (): number => world.clock.mono();
    /** Waits in the queue of requests that have a handle, most urgent first, and reserves a decode server. */
    const reserveServer = async (inFlight: Trip): Promise<ReservedServer | null> => {
      const choose = (excluded: ReadonlySet<string>): Listed | null =>
        deps.choice.decode(inFlight.rule, inFlight.reader!, excluded);
      for (;;) {
        const queued = deps.decodeQueue.enter(inFlight.rule, inFlight.due);
        deps.grantTurns();
        if (!(await queued.turn) || inFlight.sink.gone()) return null;
        const server = retryPolicy.pickServer(inFlight, choose);
        if (server) return { server, release: loads.take(server.id, inFlight.rule.weight) };
        await Timer.nap(world.clock, POLL_INTERVAL_MS);
      }
    };
    const onFirstPiece = (inFlight: Trip, server: Listed, startedAtMs: number): void => {
      loads.timed(inFlight.reader!.id, server.id, now() - startedAtMs);
      world.tell({ what: 'streams', key: inFlight.v.key, attempt: inFlight.v.attempt, server: server.id });
    };
    /** Passes pieces on as they arrive; an invalid line ends the stream and is kept in `violation`. */
    const streamReceiver = (inFlight: Trip, server: Listed, validator: Validator) => {
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
            inFlight.life.send('piece');
            inFlight.sink.piece(result.n, result.text!);
          } else if (result.end) {
            inFlight.life.send('whole');
            inFlight.sink.end(result.end.count, result.end.digest);
          }
          return !inFlight.sink.gone();
        },
      };
      return receiver;
    };
    /** The stream stopped before its end: the request is retried if it provably did not run, else given up. */
    const onIncomplete = (inFlight: Trip, server: Listed, fault: BackFault, pieceCount: number): void => {
      if (fault.ran === 'no' && pieceCount === 0) {
        const mayRetry = retryPolicy.tryRetryAfter(inFlight, fault, server);
        inFlight.life.send(fault.code === 'lapsed' ? 'lapse' : 'unrun');
        if (!mayRetry) inFlight.life.send('give');
        return;
      }
      if (fault.dark) deps.sighted(server);
      inFlight.why =
        pieceCount > 0
          ? Verdicts.maybe('cut', `The answer was cut after ${pieceCount} pieces: ${fault.why}`)
          : Verdicts.maybe('mayhaverun', `${server.id}: ${fault.why}`);
      inFlight.life.send('give');
    };
    const faultOf = (got: Result<unknown, BackFault>, violation: string | null): BackFault => {
      if (violation !== null) return brokenStream(violation);
      return got.ok ? brokenStream('the stream ended without its end line') : got.val;
    };
    const send = async (inFlight: Trip, server: Listed, handle: Handle, bound: Bound): Promise<void> => {
      const { key, attempt } = inFlight.v,
        { pieces, weight } = inFlight.rule;
      inFlight.life.send('send');
      world.tell({ what: 'send', part: 'decode', server: server.id, key, attempt });
      const validator = StreamValidator.make({ key, attempt, born: server.born });
      const receiver = streamReceiver(inFlight, server, validator);
      const job = { key, attempt, ...Urgency.of(deps), ...bound, handle, pieces, weight };
      const ms = Math.max(MIN_IDLE_TIMEOUT_MS, Math.min(MAX_IDLE_TIMEOUT_MS, inFlight.due - now()));
      const reply = await deps.back.decode(server.addr, job, ms, (line) => receiver.onLine(line));
      if (inFlight.life.machine.current !== 'ended')
        onIncomplete(inFlight, server, faultOf(reply, receiver.violation), validator.count());
    };
    return async (inFlight: Trip): Promise<void> => {
      deps.demand.write += inFlight.rule.weight;
      const reserved = await reserveServer(inFlight);
      const bound = retryPolicy.executionBound(reserved?.server ?? null);
      if (reserved && inFlight.handle && bound && !inFlight.sink.gone())
        await send(inFlight, reserved.server, inFlight.handle, bound);
      else inFlight.life.send('give');
      reserved?.release();
      deps.demand.write -= inFlight.rule.weight;
      deps.grantTurns();
    };
  },
};
