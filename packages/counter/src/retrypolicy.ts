import { Verdicts } from '@pumicebarrow/forms';
import type { ModelServerFault } from './modelserverfault.js';
import type { ExecutionBound } from './executionbound.js';
import type { ListedServer } from './listedserver.js';
import type { RequestRunnerDependencies } from './requestrunnerdependencies.js';
import type { InFlightRequest } from './inflightrequest.js';

type ServerChooser = (excluded: ReadonlySet<string>) => ListedServer | null;

/**
 * Server selection and retries, shared by prefill and decode. Invariants: no server is picked while this daemon has not
 * confirmed that its configuration is the newest; a request is sent again only for a token from the retry budget, and
 * not past its deadline.
 */
export const RetryPolicy = {
  make(deps: RequestRunnerDependencies) {
    const { world } = deps;
    return {
      /** Picks a server at which this request has met no fault; if there is none, any server. */
      pickServer(inFlight: InFlightRequest, choose: ServerChooser): ListedServer | null {
        if (!deps.sure()) return null;
        return choose(inFlight.excludedServers) ?? (inFlight.excludedServers.size > 0 ? choose(new Set()) : null);
      },
      /** Execution bound for a send to a server, by the server list as of now; null if it must not be used. */
      executionBound: (server: ListedServer | null): ExecutionBound | null =>
        server && deps.town.findServing(server.id, server.born)
          ? deps.hails.bound(server, deps.town.sendDeadline())
          : null,
      /** Records a fault that proves that the attempt did not run; true if the request may be tried again. */
      tryRetryAfter(inFlight: InFlightRequest, fault: ModelServerFault, server: ListedServer): boolean {
        inFlight.failure = Verdicts.notRun(fault.code, `${server.id}: ${fault.why}`, 1);
        if (fault.dark) deps.sighted(server);
        if (fault.code !== 'lapsed') inFlight.excludedServers.add(server.id);
        if (world.clock.mono() >= inFlight.deadline || !deps.retryBudget.tryTake()) return false;
        world.recordEvent({
          what: 'extra',
          key: inFlight.request.key,
          attempt: inFlight.request.attempt,
          code: fault.code,
        });
        return true;
      },
    };
  },
};
