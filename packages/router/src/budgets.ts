import type { Clock } from '@pumicebarrow/forms';
import { Budget } from './budget.js';

type Kept = ReturnType<typeof Budget.make>;
const MOST = 256;

/**
 * A budget for each service, since a service may be sent further tries for its own requests alone. Invariants: at most
 * MOST are kept, those used last; one that was dropped begins anew with nothing.
 */
export const Budgets = {
  make(clock: Clock, terms: Parameters<typeof Budget.make>[1], daemons: () => number | null) {
    const kept = new Map<string, Kept>();
    return {
      of(service: string): Kept {
        const one = kept.get(service) ?? Budget.make(clock, terms, daemons);
        kept.delete(service);
        kept.set(service, one);
        if (kept.size > MOST) kept.delete(kept.keys().next().value!);
        return one;
      },
    };
  },
};
