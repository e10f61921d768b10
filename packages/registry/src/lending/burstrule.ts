import { Intents, Verdicts, type Verdict } from '@pumicebarrow/forms';
import type { CoreState } from '../state/corestate.js';
import type { BurstSpec } from './burstspec.js';

/** Whether a burst may begin: the charter in force lets its rule borrow, or it is held, and is only said again. */
export const BurstAdmission = {
  mayBegin: (state: CoreState | null, spec: Pick<BurstSpec, 'key' | 'rule'>): boolean =>
    state?.bursts?.some((b) => b.spec.key === spec.key) === true ||
    Intents.charter(state?.charter?.body)?.lending?.rules.includes(spec.rule) === true,
  refusal: (rule: string): Verdict => Verdicts.not('notlent', `The charter in force lets no bursts of ${rule} borrow.`),
};
