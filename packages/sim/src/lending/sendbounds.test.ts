import { expect } from 'chai';
import type { HistoryEvent } from '@pumicebarrow/forms';
import { History } from '../history.js';
import { SendBounds } from './sendbounds.js';

type Row = [what: string, at: number, who: string, more: Record<string, unknown>];
const loan = (at: number, slots: number, why: string, who = 'lender'): Row => [
  'loan',
  at,
  who,
  { server: 'm1', holder: 'borrower', slots, why },
];
const lapse = (at: number, who = 'lender'): Row => ['lapsed', at, who, { server: 'm1' }];
const taken = (at: number): Row => ['ran', at, 'm1', { key: 'burst-a.0.1', attempt: 1 }];
const cases: [string, Row[], number][] = [
  ['within its loan', [loan(0, 2, 'lent'), taken(100)], 0],
  ['after its loan has lapsed', [loan(0, 2, 'lent'), loan(2300, 0, 'lapsed'), taken(2400)], 1],
  ['after a recall, while its lease may still run', [loan(0, 2, 'lent'), loan(900, 0, 'live'), taken(1000)], 0],
  [
    'after a recall, once its lease is past at the lender',
    [loan(0, 2, 'lent'), loan(900, 0, 'live'), lapse(2300), taken(2400)],
    1,
  ],
  [
    'under a loan of a later lender, whose predecessor tells late of its own',
    [loan(0, 2, 'lent', 'former'), loan(5000, 2, 'lent'), lapse(5100, 'former'), taken(5200)],
    0,
  ],
  [
    'under a loan that was made anew after a lapse',
    [loan(0, 2, 'lent'), loan(900, 0, 'live'), lapse(2300), loan(2400, 2, 'lent'), taken(2500)],
    0,
  ],
];

describe('Bounds of what is sent to a lent server', () => {
  for (const [name, rows, broken] of cases)
    it(`${broken > 0 ? 'blames' : 'lets'} what is taken up ${name}`, () => {
      const deeds = rows.map(([what, at, who, more]): HistoryEvent => ({ what, at, who, ...more }));
      expect(SendBounds.broken(History.make(deeds), 2000, () => true)).to.have.length(broken);
    });
});
