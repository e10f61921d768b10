import type { Fault } from './fault.js';
import type { Verdict } from './verdict.js';

/** Constructors of verdicts. */
export const Verdicts = {
  /** Not executed and never will be; `after` is the number of seconds to wait before a retry. */
  notRun: (code: string, why: string, after?: number): Verdict => ({
    ran: 'no',
    code,
    why,
    ...(after === undefined ? {} : { after }),
  }),
  /** May have been executed. */
  maybeRun: (code: string, why: string): Verdict => ({ ran: 'maybe', code, why }),
  /** Executed. */
  ran: (code: string, why: string): Verdict => ({ ran: 'yes', code, why }),
  /** Not executed because of invalid input. */
  invalid: (faults: Fault[]): Verdict => ({
    ran: 'no',
    code: 'bad',
    why: faults.map((fault) => `${fault.path || '/'} ${fault.why}`).join('; '),
    faults,
  }),
};
