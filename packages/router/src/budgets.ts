import type { Clock } from '@pumicebarrow/forms';
import { Budget } from './budget.js';
import { PerService } from './perservice.js';

/** A budget for each service, since a service may be sent further tries for its own requests alone. */
export const Budgets = {
  make: (clock: Clock, terms: Parameters<typeof Budget.make>[1], daemons: () => number | null) =>
    PerService.make(() => Budget.make(clock, terms, daemons)),
};
