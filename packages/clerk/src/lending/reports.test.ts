import { expect } from 'chai';
import { BurstReport } from './burstreport.js';
import { LoanReport } from './loanreport.js';

const noGenerations = { waiting: 0, begun: 0, ran: 0, unsure: 0, dropped: 0 };
const burst = { key: 'b', rule: 'rollout', order: 3, ended: false, gone: false, total: 4, ...noGenerations };
const loan = { server: 'm1', part: 'decode', slots: 4, holder: 'e1', burst: 'b', why: 'lent', by: 'e2', since: 0 };

describe('BurstReport', () => {
  const cases: [string, Partial<typeof burst>, string][] = [
    ['a running burst', { ran: 1, begun: 2, waiting: 1 }, 'is under way: 1 ran, 2 begun, 1 waiting.'],
    ['a finished burst', { ran: 3, unsure: 1 }, 'is over: 3 ran, 1 unsure.'],
    ['a burst ended early', { ended: true, begun: 1, dropped: 3 }, 'is ended, and some run on: 1 begun, 3 dropped.'],
  ];
  for (const [name, change, expected] of cases)
    it(`formats ${name}`, () =>
      expect(BurstReport.formatLines({ ...burst, ...change })).to.deep.equal([
        `Burst b (number 3, rule rollout) ${expected}`,
      ]));
  it('formats a burst whose outcomes are deleted', () =>
    expect(BurstReport.formatLines({ ...burst, gone: true, total: 0 })).to.deep.equal([
      'Burst b is ended, and its outcomes are gone.',
    ]));
});

describe('LoanReport', () => {
  it('lists current loans only', () => {
    expect(LoanReport.formatTable([{ ...loan, slots: 0 }])).to.deep.equal(['Nothing is lent.']);
    expect(LoanReport.formatTable([loan])).to.deep.equal([
      'm1       decode     4 slots to e1 for b, by e2 since 1970-01-01T00:00:00.000Z',
    ]);
  });
  it('formats each step of a loan', () => {
    const step = (why: string, wall: number) => ({ mark: [2, wall] as [number, number], wall, loan: { ...loan, why } });
    const lines = LoanReport.formatLines({
      server: 'm1',
      steps: ['lent', 'live', 'load', 'given', 'lapsed'].map(step),
    });
    expect(lines).to.deep.equal([
      'Loans of m1:',
      '  +     0 ms  2.0     e2 lent 4 slots that decode to e1, for burst b.',
      '  +     1 ms  2.1     e2 called it back from e1: a live request would have had to wait.',
      '  +     2 ms  2.2     e2 called it back from e1: live work and what is kept leave nothing.',
      '  +     3 ms  2.3     e1 gave it back.',
      '  +     4 ms  2.4     the loan to e1 ran out, and was not asked for again.',
    ]);
  });
});
