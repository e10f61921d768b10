import { Intents, Verdicts, type Verdict } from '@pumicebarrow/forms';
import type { CoreState } from '../corestate.js';

/** Whether the charter in force lets a rule's bursts borrow. */
export const BurstRule = {
  may: (s: CoreState | null, rule: string): boolean =>
    Intents.charter(s?.charter?.body)?.lending?.rules.includes(rule) === true,
  no: (rule: string): Verdict => Verdicts.not('notlent', `The charter in force lets no bursts of ${rule} borrow.`),
};
