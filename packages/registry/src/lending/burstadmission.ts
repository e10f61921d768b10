import { Configurations, Verdicts, type Verdict } from '@pumicebarrow/forms';
import type { CoreState } from '../state/corestate.js';
import type { BurstSpec } from './burstspec.js';

/**
 * Whether a burst may begin: the configuration in force must let its rule borrow capacity. A burst that is already
 * recorded may always be submitted again.
 */
export const BurstAdmission = {
  mayBegin: (state: CoreState | null, spec: Pick<BurstSpec, 'key' | 'rule'>): boolean =>
    state?.bursts?.some((b) => b.spec.key === spec.key) === true ||
    Configurations.asFleet(state?.charter?.body)?.lending?.rules.includes(spec.rule) === true,
  refusal: (rule: string): Verdict =>
    Verdicts.notRun('notlent', `The charter in force lets no bursts of ${rule} borrow.`),
};
