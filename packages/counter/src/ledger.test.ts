import type { Clock } from '@pumicebarrow/forms';
import { expect } from 'chai';
import { Ledger } from './ledger.js';

const clock: Clock = { mono: () => 0, wall: () => 0, after: () => () => undefined };
type Step =
  ['open', number, string, string, boolean?, string?] | ['sent' | 'closed' | 'ran', number, string, boolean, string?];
const cases: [string, Step[]][] = [
  [
    'a first try runs',
    [
      ['open', 1, 'x', 'ok'],
      ['sent', 1, 'x', true],
      ['ran', 1, 'x', true],
      ['open', 2, 'y', 'ran'],
    ],
  ],
  [
    'the same try twice',
    [
      ['open', 1, 'x', 'ok'],
      ['open', 1, 'y', 'twin'],
    ],
  ],
  ['a second try of nothing known', [['open', 2, 'x', 'unknown']]],
  [
    'a second try while the first waits shuts the first out',
    [
      ['open', 1, 'x', 'ok'],
      ['open', 2, 'y', 'ok'],
      ['sent', 1, 'x', false],
      ['sent', 2, 'y', true],
    ],
  ],
  [
    'a second try after the first was sent',
    [
      ['open', 1, 'x', 'ok'],
      ['sent', 1, 'x', true],
      ['open', 2, 'y', 'sent'],
    ],
  ],
  [
    'a sent try proven unrun by its own daemon',
    [
      ['open', 1, 'x', 'ok'],
      ['sent', 1, 'x', true],
      ['closed', 1, 'x', true],
      ['open', 2, 'y', 'ok'],
    ],
  ],
  [
    'a sent try may not be closed by another',
    [
      ['open', 1, 'x', 'ok'],
      ['sent', 1, 'x', true],
      ['closed', 1, 'y', false],
      ['open', 2, 'y', 'sent'],
    ],
  ],
  [
    'a closed try can not be sent',
    [
      ['open', 1, 'x', 'ok'],
      ['closed', 1, 'x', true],
      ['sent', 1, 'x', false],
    ],
  ],
  [
    'a closed number is not used again',
    [
      ['open', 1, 'x', 'ok'],
      ['closed', 1, 'x', true],
      ['open', 1, 'y', 'closed'],
    ],
  ],
  [
    'a first try refused at admission proves the second',
    [
      ['closed', 1, 'x', true],
      ['open', 2, 'y', 'ok'],
    ],
  ],
  [
    'a second try refused at admission proves nothing by itself',
    [
      ['closed', 2, 'x', false],
      ['open', 3, 'y', 'unknown'],
    ],
  ],
  [
    'refusal after refusal keeps the proof',
    [
      ['closed', 1, 'x', true],
      ['closed', 2, 'y', true],
      ['open', 3, 'z', 'ok'],
    ],
  ],
  [
    'a gap in the numbers is no proof',
    [
      ['closed', 1, 'x', true],
      ['open', 3, 'z', 'unknown'],
    ],
  ],
  [
    'proof had elsewhere',
    [
      ['open', 2, 'x', 'ok', true],
      ['sent', 2, 'x', true],
    ],
  ],
  [
    'another body under the key',
    [
      ['open', 1, 'x', 'ok'],
      ['open', 2, 'y', 'other', false, 'body2'],
    ],
  ],
  ['a mark for what was never opened', [['sent', 1, 'x', false]]],
  [
    'running is only said of what was sent',
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
        if (step[0] === 'open') expect(ledger.open('k', step[1], step[5] ?? 'body', step[4] ?? false, step[2])).to.equal(step[3]);
        else expect(ledger.step('k', step[1], step[4] ?? 'body', step[0], step[2])).to.equal(step[3]);
      }
    });
  }
});
