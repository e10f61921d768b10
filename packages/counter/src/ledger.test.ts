import type { Clock } from '@pumicebarrow/forms';
import { expect } from 'chai';
import { Ledger } from './ledger.js';

const clock: Clock = { mono: () => 0, wall: () => 0, after: () => () => undefined };
type Step =
  ['open', number, string, string, boolean?, string?] | ['sent' | 'closed' | 'ran', number, string, boolean, string?];
const cases: [string, Step[]][] = [
  [
    'a first attempt runs',
    [
      ['open', 1, 'x', 'ok'],
      ['sent', 1, 'x', true],
      ['ran', 1, 'x', true],
      ['open', 2, 'y', 'ran'],
    ],
  ],
  [
    'the same attempt opened twice',
    [
      ['open', 1, 'x', 'ok'],
      ['open', 1, 'y', 'twin'],
    ],
  ],
  ['a second attempt of an unknown key', [['open', 2, 'x', 'unknown']]],
  [
    'a second attempt opened while the first waits keeps the first from being sent',
    [
      ['open', 1, 'x', 'ok'],
      ['open', 2, 'y', 'ok'],
      ['sent', 1, 'x', false],
      ['sent', 2, 'y', true],
    ],
  ],
  [
    'a second attempt after the first was sent',
    [
      ['open', 1, 'x', 'ok'],
      ['sent', 1, 'x', true],
      ['open', 2, 'y', 'sent'],
    ],
  ],
  [
    'a sent attempt closed by its own daemon',
    [
      ['open', 1, 'x', 'ok'],
      ['sent', 1, 'x', true],
      ['closed', 1, 'x', true],
      ['open', 2, 'y', 'ok'],
    ],
  ],
  [
    'a sent attempt is not closed by another daemon',
    [
      ['open', 1, 'x', 'ok'],
      ['sent', 1, 'x', true],
      ['closed', 1, 'y', false],
      ['open', 2, 'y', 'sent'],
    ],
  ],
  [
    'a closed attempt cannot be sent',
    [
      ['open', 1, 'x', 'ok'],
      ['closed', 1, 'x', true],
      ['sent', 1, 'x', false],
    ],
  ],
  [
    'the number of a closed attempt is not used again',
    [
      ['open', 1, 'x', 'ok'],
      ['closed', 1, 'x', true],
      ['open', 1, 'y', 'closed'],
    ],
  ],
  [
    'a first attempt refused at admission lets the second open',
    [
      ['closed', 1, 'x', true],
      ['open', 2, 'y', 'ok'],
    ],
  ],
  [
    'a second attempt refused at admission proves nothing by itself',
    [
      ['closed', 2, 'x', false],
      ['open', 3, 'y', 'unknown'],
    ],
  ],
  [
    'consecutive refusals at admission keep the proof',
    [
      ['closed', 1, 'x', true],
      ['closed', 2, 'y', true],
      ['open', 3, 'z', 'ok'],
    ],
  ],
  [
    'a gap in the attempt numbers is not proof',
    [
      ['closed', 1, 'x', true],
      ['open', 3, 'z', 'unknown'],
    ],
  ],
  [
    'a second attempt with proof from another owner',
    [
      ['open', 2, 'x', 'ok', true],
      ['sent', 2, 'x', true],
    ],
  ],
  [
    'another body under the same key',
    [
      ['open', 1, 'x', 'ok'],
      ['open', 2, 'y', 'other', false, 'body2'],
    ],
  ],
  ['a mark for an attempt that was never opened', [['sent', 1, 'x', false]]],
  [
    'only a sent attempt can be marked as run',
    [
      ['open', 1, 'x', 'ok'],
      ['ran', 1, 'x', false],
    ],
  ],
];

describe('Ledger', () => {
  for (const [name, steps] of cases) {
    it(name, () => {
      const ledger = Ledger.make(clock);
      for (const step of steps) {
        if (step[0] === 'open')
          expect(ledger.open('k', step[1], step[5] ?? 'body', step[4] ?? false, step[2])).to.equal(step[3]);
        else expect(ledger.step('k', step[1], step[4] ?? 'body', step[0], step[2])).to.equal(step[3]);
      }
    });
  }
});
