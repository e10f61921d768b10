import type { Route } from '@pumicebarrow/forms';

/** What rounding may take off the time that a client tells, in ms. */
const SLACK = 2;
/** So many requests of a route show how long its clients wait; before that, the route's own limit stands for it. */
const ENOUGH = 8;
const MOST = 10_000;
type Row = { most: number; seen: number };

/**
 * Whether a request is its client's first try, by the time the client says that it will wait: a further try has less
 * than first tries on that route have. Invariant: a guess that orders and defers, and never decides what may run.
 */
export const FirstTries = {
  make() {
    const rows = new Map<string, Row>();
    return {
      is(route: Route, wait: number): boolean {
        if (rows.size >= MOST) rows.clear();
        const row = rows.get(route.name) ?? { most: 0, seen: 0 };
        rows.set(route.name, { most: Math.max(row.most, wait), seen: row.seen + 1 });
        const known = row.seen < ENOUGH ? Math.max(row.most, route.timeout) : row.most;
        return wait >= known - SLACK;
      },
    };
  },
};
