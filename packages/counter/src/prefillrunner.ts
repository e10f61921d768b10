import { Hash, Timer } from '@pumicebarrow/forms';
import type { ModelServerFault } from './modelserverfault.js';
import type { ExecutionBound } from './executionbound.js';
import type { KvCacheHandle } from './kvcachehandle.js';
import type { ListedServer } from './listedserver.js';
import type { RequestRunnerDependencies } from './requestrunnerdependencies.js';
import type { RetryPolicy } from './retrypolicy.js';
import type { InFlightRequest } from './inflightrequest.js';
import { Urgency } from './urgency.js';
import type { ClientRequest } from './clientrequest.js';

type ReservedServer = { server: ListedServer; release: () => void };
const MAX_TIMEOUT_MS = 4000;
const MIN_TIMEOUT_MS = 200;
const POLL_INTERVAL_MS = 20;
const HANDLE_MISMATCH: ModelServerFault = {
  ran: 'no',
  code: 'bad',
  dark: false,
  why: 'gave a handle that does not fit the request',
};

/** Whether a handle belongs to this request, this incarnation of the server and this prompt. */
const matchesRequest = (handle: KvCacheHandle | null, request: ClientRequest, server: ListedServer): boolean =>
  handle !== null &&
  handle.key === request.key &&
  handle.attempt === request.attempt &&
  handle.server === server.id &&
  handle.born === server.born &&
  handle.digest === Hash.ofText(request.prefix + request.part);

/**
 * Sends a request's prompt to a prefill server. Invariants: the server list is checked in the same event-loop turn as
 * the send; a server's capacity is reserved in the instant in which it is found; whatever the result, the request has
 * not run.
 */
export const PrefillRunner = {
  make(deps: RequestRunnerDependencies, retryPolicy: ReturnType<typeof RetryPolicy.make>) {
    const { world, loads } = deps;
    const now = (): number => world.clock.mono();
    const reserveServer = async (inFlight: InFlightRequest): Promise<ReservedServer | null> => {
      const choose = (excluded: ReadonlySet<string>): ListedServer | null =>
        deps.choice.prefill(inFlight.route, inFlight.prefix, excluded);
      for (;;) {
        const server = retryPolicy.pickServer(inFlight, choose);
        if (server) return { server, release: loads.reserve(server.id, inFlight.route.weight) };
        if (now() >= inFlight.deadline || inFlight.writer.isClientGone()) return null;
        await Timer.sleep(world.clock, POLL_INTERVAL_MS);
      }
    };
    const send = async (inFlight: InFlightRequest, server: ListedServer, bound: ExecutionBound): Promise<void> => {
      const { request, route, stateMachine } = inFlight;
      const { key, attempt, prefix, part } = request;
      world.recordEvent({ what: 'send', part: 'prefill', server: server.id, key, attempt, version: deps.version() });
      const job = { key, attempt, ...Urgency.of(deps), ...bound, prefix, part, weight: route.weight };
      const reply = await deps.back.prefill(
        server.addr,
        job,
        Math.max(MIN_TIMEOUT_MS, Math.min(MAX_TIMEOUT_MS, inFlight.deadline - now())),
      );
      const handle = reply.ok ? reply.val : null;
      if (matchesRequest(handle, request, server)) {
        inFlight.handle = handle;
        inFlight.prefillServer = server;
        stateMachine.send('read');
        return;
      }
      const fault: ModelServerFault = reply.ok ? HANDLE_MISMATCH : reply.val;
      stateMachine.send(retryPolicy.tryRetryAfter(inFlight, { ...fault, ran: 'no' }, server) ? 'again' : 'give');
    };
    return async (inFlight: InFlightRequest): Promise<void> => {
      deps.demand.read += inFlight.route.weight;
      const reserved = await reserveServer(inFlight);
      inFlight.releaseReservation();
      const bound = retryPolicy.executionBound(reserved?.server ?? null);
      if (reserved && bound) await send(inFlight, reserved.server, bound);
      else inFlight.stateMachine.send('give');
      reserved?.release();
      deps.demand.read -= inFlight.route.weight;
      deps.grantTurns();
    };
  },
};
