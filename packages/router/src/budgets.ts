import type { Clock } from '@pumicebarrow/forms';
import { Budget } from './budget.js';
import { PerService } from './perservice.js';

/** One retry budget per service, so that a service gets retries only for its own requests. */
export const Budgets = {
  make: (clock: Clock, terms: Parameters<typeof Budget.make>[1], daemonCount: () => number | null) =>
    PerService.make(() => Budget.make(clock, terms, daemonCount)),
};
