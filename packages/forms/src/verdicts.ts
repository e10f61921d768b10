import type { Fault } from './fault.js';
import type { Verdict } from './verdict.js';

/** Makers of verdicts, so that each code is spelt in one way. */
export const Verdicts = {
  not: (code: string, why: string, after?: number): Verdict => ({
    ran: 'no',
    code,
    why,
    ...(after === undefined ? {} : { after }),
  }),
  maybe: (code: string, why: string): Verdict => ({ ran: 'maybe', code, why }),
  ran: (code: string, why: string): Verdict => ({ ran: 'yes', code, why }),
  bad: (faults: Fault[]): Verdict => ({
    ran: 'no',
    code: 'bad',
    why: faults.map((f) => `${f.path || '/'} ${f.why}`).join('; '),
    faults,
  }),
};
