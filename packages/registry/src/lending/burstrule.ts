import { Intents, Verdicts, type Verdict } from '@pumicebarrow/forms';
import type { CoreState } from '../state/corestate.js';
import type { BurstSpec } from './burstspec.js';

/**
 * Whether a burst may begin: the configuration in force must let its rule borrow capacity. A burst that is already
 * recorded may always be submitted again.
 */
export const BurstAdmission = {
  mayBegin: (state: CoreState | null, spec: Pick<BurstSpec, 'key' | 'rule'>): boolean =>
    state?.bursts?.some((b) => b.spec.key === spec.key) === true ||
    Intents.charter(state?.charter?.body)?.lending?.rules.includes(spec.rule) === true,
  refusal: (rule: string): Verdict =>
    Verdicts.not('notlent', `The configuration in force does not allow bursts of ${rule} to borrow capacity.`),
};
