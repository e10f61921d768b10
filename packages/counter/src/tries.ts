import { Verdicts } from '@pumicebarrow/forms';
import type { BackFault } from './backfault.js';
import type { Bound } from './bound.js';
import type { Listed } from './listed.js';
import type { RunTools } from './runtools.js';
import type { Trip } from './trip.js';

type ServerChooser = (excluded: ReadonlySet<string>) => Listed | null;

/**
 * Server selection and retries, shared by prefill and decode. Invariants: no server is picked while this daemon has not
 * confirmed that its configuration is the newest; a request is sent again only for a token from the retry budget, and
 * not past its deadline.
 */
export const RetryPolicy = {
  make(deps: RunTools) {
    const { world } = deps;
    return {
      /** Picks a server at which this request has met no fault; if there is none, any server. */
      pickServer(inFlight: Trip, choose: ServerChooser): Listed | null {
        if (!deps.sure()) return null;
        return choose(inFlight.avoid) ?? (inFlight.avoid.size > 0 ? choose(new Set()) : null);
      },
      /** Execution bound for a send to a server, by the server list as of now; null if it must not be used. */
      executionBound: (server: Listed | null): Bound | null =>
        server && deps.town.good(server.id, server.born) ? deps.hails.bound(server, deps.town.until()) : null,
      /** Records a fault that proves that the attempt did not run; true if the request may be tried again. */
      tryRetryAfter(inFlight: Trip, fault: BackFault, server: Listed): boolean {
        inFlight.why = Verdicts.not(fault.code, `${server.id}: ${fault.why}`, 1);
        if (fault.dark) deps.sighted(server);
        if (fault.code !== 'lapsed') inFlight.avoid.add(server.id);
        if (world.clock.mono() >= inFlight.due || !deps.retryBudget.take()) return false;
        world.tell({ what: 'extra', key: inFlight.v.key, attempt: inFlight.v.attempt, code: fault.code });
        return true;
      },
    };
  },
};
