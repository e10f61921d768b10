import type { Clock } from '@pumicebarrow/forms';
import { RetryBudget } from './retrybudget.js';
import { PerService } from './perservice.js';

/** One retry budget per service, so that a service gets retries only for its own requests. */
export const RetryBudgets = {
  make: (clock: Clock, terms: Parameters<typeof RetryBudget.make>[1], daemonCount: () => number | null) =>
    PerService.make(() => RetryBudget.make(clock, terms, daemonCount)),
};
