import type { Route } from '@pumicebarrow/forms';

/** Rounding error allowed in the timeout that a client states. */
const ROUNDING_TOLERANCE_MS = 2;
/**
 * Requests of a route after which their stated timeouts are trusted; before that, the route's own timeout is the lower
 * bound.
 */
const MIN_SAMPLES = 8;
const MAX_ROUTES = 10_000;
type RouteWaits = { longestWaitMs: number; samples: number };

/**
 * Guesses whether a request is its client's first attempt from the time the client says it will wait: a retry has less
 * time left than first attempts on that route. Invariant: the guess only affects ordering and deferral, never whether a
 * request may run.
 */
export const FirstAttempts = {
  make() {
    const rows = new Map<string, RouteWaits>();
    return {
      isFirst(route: Route, waitMs: number): boolean {
        if (rows.size >= MAX_ROUTES) rows.clear();
        const row = rows.get(route.name) ?? { longestWaitMs: 0, samples: 0 };
        rows.set(route.name, { longestWaitMs: Math.max(row.longestWaitMs, waitMs), samples: row.samples + 1 });
        const firstAttemptWaitMs =
          row.samples < MIN_SAMPLES ? Math.max(row.longestWaitMs, route.timeout) : row.longestWaitMs;
        return waitMs >= firstAttemptWaitMs - ROUNDING_TOLERANCE_MS;
      },
    };
  },
};
