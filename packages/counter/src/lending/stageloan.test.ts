import type { Charter } from '@pumicebarrow/forms';
import { expect } from 'chai';
import { StageLoan } from './stageloan.js';

const swaps = { floor: { prefill: 1, decode: 2 }, hour: 2 };
const charter = { casting: { swing: true, calm: 5000 }, lending: { swaps } } as unknown as Charter;
const still = { casting: { swing: false, calm: 5000 }, lending: { swaps } } as unknown as Charter;
type Seen = Parameters<typeof StageLoan.next>[0];
const HOUR = 3_600_000;
const idle: Seen = {
  ...{ charter, mix: { prefill: 2 }, wish: 'decode', looks: 10, lean: 0, worst: () => 0.1, servers: 6 },
  ...{ since: 5000, wall: 10 * HOUR },
};
const lent: Seen = { ...idle, mix: { prefill: 1, lent: -1, swaps: [10 * HOUR - 9] } };
const there = (prefill: number, by: number, more: number[] = []) => ({
  ...{ prefill, lent: by, swaps: [...more, 10 * HOUR], back: false },
});
const back = { prefill: 2, lent: 0, swaps: [10 * HOUR - 9], back: true };
const cases: [string, Seen, object | null][] = [
  ['goes to writers where bursts are short of them', idle, there(1, -1)],
  ['goes to readers where bursts are short of them', { ...idle, wish: 'prefill' }, there(3, 1)],
  ['stays where they are short of neither', { ...idle, wish: 'either' }, null],
  ['stays where there are none', { ...idle, wish: null }, null],
  ['stays until they have said so for long enough', { ...idle, looks: 9 }, null],
  ['stays within the calm', { ...idle, since: 4999 }, null],
  ['stays where live work leans', { ...idle, lean: 1 }, null],
  ['stays where live work would fill more of a part', { ...idle, worst: () => 0.36 }, null],
  ['stays at the floor of readers', { ...idle, mix: { prefill: 1 } }, null],
  ['stays at the floor of writers', { ...idle, wish: 'prefill', mix: { prefill: 4 } }, null],
  ['stays where as many went within the hour', { ...idle, mix: { prefill: 2, swaps: [9.5 * HOUR, 9.6 * HOUR] } }, null],
  [
    'goes once the hour is past',
    { ...idle, mix: { prefill: 2, swaps: [8 * HOUR, 9.6 * HOUR] } },
    there(1, -1, [9.6 * HOUR]),
  ],
  ['stays without the clause, or where parts follow nothing', { ...idle, charter: still }, null],
  ['is kept while bursts ask', lent, null],
  ['is kept while bursts are short of neither part', { ...lent, wish: 'either', looks: 99 }, null],
  ['goes back at one look at which live work leans that way', { ...lent, lean: 1, since: 0, looks: 0 }, back],
  ['is kept where live work leans the same way', { ...lent, lean: -1 }, null],
  ['goes back a few looks after the last burst', { ...lent, wish: null, looks: 3, since: 0 }, back],
  ['is kept over a look at which nothing was heard', { ...lent, wish: null, looks: 2 }, null],
  ['goes back once bursts are short of the other part for long', { ...lent, wish: 'prefill' }, back],
  ['goes back where the charter no longer lets it', { ...lent, charter: still }, back],
];

describe('A server that may change its part for bursts', () => {
  for (const [name, seen, want] of cases) it(name, () => expect(StageLoan.next(seen)).to.deep.equal(want));
});
