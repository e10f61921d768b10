import type { Clock } from '@pumicebarrow/forms';

type RetryBudgetTerms = { ratio: number; window: number; slack: number };
/** Fraction of `ratio` that a request earns; the remainder covers what the requests of the previous window earned. */
const REQUEST_EARNING_FRACTION = 0.6;
/** Fraction of the slack earned per window, which may also be saved; the remainder covers counts that lag. */
const SLACK_EARNING_FRACTION = 0.4;
/** Fraction of the slack share that savings and debt may use. */
const SAVED_SLACK_FRACTION = 0.5;
/** Fleet size assumed while the number of daemons is unknown. */
const ASSUMED_DAEMONS = 40;
/** Sub-intervals of a window in which requests are counted. */
const WINDOW_PARTS = 10;

/**
 * Token bucket for retries, that is, for sends beyond the first one of a request. Invariants: over any window, all
 * daemons together spend less than `ratio` per request plus `slack`, for any split of the traffic and any number of
 * daemons. The requests counted are those of that window or of the one before it, whichever were more. Each daemon
 * earns a part of `ratio` by its own requests, and its share of `slack` with time. What all daemons may have saved adds
 * up to a part of `slack` plus a part of what the requests of the last window bring; what they may owe is limited to
 * the rest of that. A daemon that does not know the fleet size takes the share of one in a large fleet.
 */
export const RetryBudget = {
  make(clock: Clock, terms: () => RetryBudgetTerms, daemonCount: () => number | null) {
    let level = 0;
    let accruedAt = clock.mono();
    const partCounts: { part: number; requests: number }[] = [];
    const slackShare = (): number => terms().slack / Math.max(1, daemonCount() ?? ASSUMED_DAEMONS);
    const currentPart = (): number => Math.floor((clock.mono() * WINDOW_PARTS) / terms().window);
    /** Requests of the last window. Only whole sub-intervals count, so that no older request is included. */
    const requestsInWindow = (): number => {
      const now = currentPart();
      while (partCounts.length > 0 && partCounts[0]!.part <= now - WINDOW_PARTS) partCounts.shift();
      return partCounts.reduce((sum, p) => sum + p.requests, 0);
    };
    /** Upper bound of savings and debt together, in retries. */
    const savingsAndDebtLimit = (): number =>
      slackShare() * SAVED_SLACK_FRACTION + terms().ratio * (1 - REQUEST_EARNING_FRACTION) * requestsInWindow();
    /** One whole retry can be saved only if the share of the slack, or the daemon's own requests, allow for one. */
    const maxLevel = (): number => Math.max(slackShare() * SLACK_EARNING_FRACTION, Math.min(1, savingsAndDebtLimit()));
    const accrue = (): void => {
      const now = clock.mono();
      level = Math.min(
        maxLevel(),
        level + (slackShare() * SLACK_EARNING_FRACTION * (now - accruedAt)) / terms().window,
      );
      accruedAt = now;
    };
    return {
      /** Counts a request of this daemon and credits what it earns. */
      recordRequest(): void {
        accrue();
        const now = currentPart();
        if (partCounts.at(-1)?.part === now) partCounts.at(-1)!.requests++;
        else partCounts.push({ part: now, requests: 1 });
        level = Math.min(maxLevel(), level + terms().ratio * REQUEST_EARNING_FRACTION);
      },
      /** Takes one retry; false if less than a whole one is saved. */
      tryTake(): boolean {
        accrue();
        if (level < 1) return false;
        level -= 1;
        return true;
      },
      /** Gives back a retry that was taken for a send that never arrived. */
      giveBack(): void {
        accrue();
        level = Math.min(maxLevel(), level + 1);
      },
      /**
       * Whether one more send may be charged: the level may become negative as long as later requests can cover the
       * debt.
       */
      canCharge(): boolean {
        accrue();
        return level - 1 >= Math.min(0, maxLevel() - savingsAndDebtLimit());
      },
      /** Charges a send that counts as a retry, or may count as one, after it was made; later requests pay for it. */
      charge(): void {
        accrue();
        level -= 1;
      },
      level(): number {
        accrue();
        return level;
      },
    };
  },
};
