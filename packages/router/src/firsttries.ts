/** What a clock and a wire may take off the time that a client tells, in ms. */
const SLACK = 20;

/**
 * Whether a request is its client's first try, by the time the client says that it will wait: a further try has less
 * than first tries on that route have. Invariant: a guess that orders and defers, and never decides what may run.
 */
export const FirstTries = {
  make() {
    const most = new Map<string, number>();
    return {
      is(route: string, wait: number): boolean {
        const known = most.get(route) ?? 0;
        if (wait > known) most.set(route, wait);
        return wait >= known - SLACK;
      },
      only(routes: ReadonlySet<string>): void {
        for (const r of most.keys()) if (!routes.has(r)) most.delete(r);
      },
    };
  },
};
