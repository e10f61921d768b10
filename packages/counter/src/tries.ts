import { Verdicts } from '@pumicebarrow/forms';
import type { BackFault } from './backfault.js';
import type { Bound } from './bound.js';
import type { Listed } from './listed.js';
import type { RunTools } from './runtools.js';
import type { Trip } from './trip.js';

type ServerChooser = (excluded: ReadonlySet<string>) => Listed | null;

/**
 * What the reading and the writing of a request share. Invariants: no server is picked while this daemon isn't sure of
 * its charter; a request is sent again only for a token from the bucket, and not past its deadline.
 */
export const RetryPolicy = {
  make(deps: RunTools) {
    const { world } = deps;
    return {
      /** A server that was not met with a fault yet; any other where there is none. */
      pickServer(inFlight: Trip, choose: ServerChooser): Listed | null {
        if (!deps.sure()) return null;
        return choose(inFlight.avoid) ?? (inFlight.avoid.size > 0 ? choose(new Set()) : null);
      },
      /** The bound of a send to a server, by a look at the list in this instant; null if it must not be sent to. */
      executionBound: (server: Listed | null): Bound | null =>
        server && deps.town.good(server.id, server.born) ? deps.hails.bound(server, deps.town.until()) : null,
      /** Takes a fault that proves the try unrun; true if the request may be tried again. */
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
