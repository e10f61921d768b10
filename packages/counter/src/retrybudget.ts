/**
 * Token bucket that limits this daemon's retries. It starts empty, so that many daemons restarting together cause no
 * burst of retries. Invariant: retries never exceed `rate` per request.
 */
export const RetryBudget = {
  make(rate: number, capacity: number) {
    let tokens = 0;
    return {
      /** Adds the fraction of a token that one request earns. */
      recordRequest(): void {
        tokens = Math.min(capacity, tokens + rate);
      },
      /** Takes the token for one retry; false if there is none. */
      tryTake(): boolean {
        if (tokens < 1) return false;
        tokens -= 1;
        return true;
      },
      level: (): number => tokens,
    };
  },
};
