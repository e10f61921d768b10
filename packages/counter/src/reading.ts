import { Hash, Timer } from '@pumicebarrow/forms';
import type { BackFault } from './backfault.js';
import type { Bound } from './bound.js';
import type { Handle } from './handle.js';
import type { Listed } from './listed.js';
import type { RunTools } from './runtools.js';
import type { RetryPolicy } from './tries.js';
import type { Trip } from './trip.js';
import { Urgency } from './urgency.js';
import type { Request } from './request.js';

type ReservedServer = { server: Listed; release: () => void };
const MAX_TIMEOUT_MS = 4000;
const MIN_TIMEOUT_MS = 200;
const POLL_INTERVAL_MS = 20;
const HANDLE_MISMATCH: BackFault = {
  ran: 'no',
  code: 'bad',
  dark: false,
  why: 'returned a handle that does not match the request',
};

/** Whether a handle belongs to this request, this incarnation of the server and this prompt. */
const matchesRequest = (handle: Handle | null, request: Request, server: Listed): boolean =>
  handle !== null &&
  handle.key === request.key &&
  handle.attempt === request.attempt &&
  handle.server === server.id &&
  handle.born === server.born &&
  handle.digest === Hash.text(request.prefix + request.part);

/**
 * Sends a request's prompt to a prefill server. Invariants: the server list is checked in the same event-loop turn as
 * the send; a server's capacity is reserved in the instant in which it is found; whatever the result, the request has
 * not run.
 */
export const PrefillRunner = {
  make(deps: RunTools, retryPolicy: ReturnType<typeof RetryPolicy.make>) {
    const { world, loads } = deps;
    const now = (): number => world.clock.mono();
    const reserveServer = async (inFlight: Trip): Promise<ReservedServer | null> => {
      const choose = (excluded: ReadonlySet<string>): Listed | null =>
        deps.choice.prefill(inFlight.rule, inFlight.prefix, excluded);
      for (;;) {
        const server = retryPolicy.pickServer(inFlight, choose);
        if (server) return { server, release: loads.take(server.id, inFlight.rule.weight) };
        if (now() >= inFlight.due || inFlight.sink.gone()) return null;
        await Timer.nap(world.clock, POLL_INTERVAL_MS);
      }
    };
    const send = async (inFlight: Trip, server: Listed, bound: Bound): Promise<void> => {
      const { v: request, rule: route, life: stateMachine } = inFlight;
      const { key, attempt, prefix, part } = request;
      world.tell({ what: 'send', part: 'prefill', server: server.id, key, attempt, version: deps.version() });
      const job = { key, attempt, ...Urgency.of(deps), ...bound, prefix, part, weight: route.weight };
      const reply = await deps.back.prefill(
        server.addr,
        job,
        Math.max(MIN_TIMEOUT_MS, Math.min(MAX_TIMEOUT_MS, inFlight.due - now())),
      );
      const handle = reply.ok ? reply.val : null;
      if (matchesRequest(handle, request, server)) {
        inFlight.handle = handle;
        inFlight.reader = server;
        stateMachine.send('read');
        return;
      }
      const fault: BackFault = reply.ok ? HANDLE_MISMATCH : reply.val;
      stateMachine.send(retryPolicy.tryRetryAfter(inFlight, { ...fault, ran: 'no' }, server) ? 'again' : 'give');
    };
    return async (inFlight: Trip): Promise<void> => {
      deps.demand.read += inFlight.rule.weight;
      const reserved = await reserveServer(inFlight);
      inFlight.settled();
      const bound = retryPolicy.executionBound(reserved?.server ?? null);
      if (reserved && bound) await send(inFlight, reserved.server, bound);
      else inFlight.life.send('give');
      reserved?.release();
      deps.demand.read -= inFlight.rule.weight;
      deps.grantTurns();
    };
  },
};
