import { Verdicts, type Verdict } from '@pumicebarrow/forms';
import { expect } from 'chai';
import { Takes } from './takes.js';

const cases: [string, Verdict, string | null, object][] = [
  ['a complete answer', Verdicts.ran('ran', 'x'), 'text', { to: 'ran', text: 'text', count: 1, digest: 'd' }],
  ['a verdict that it did not run', Verdicts.not('late', 'x'), null, { to: 'unrun' }],
  ['a cut answer', Verdicts.maybe('cut', 'x'), null, { to: 'unsure', why: 'cut: x' }],
  ['an earlier attempt that ran', Verdicts.ran('ran', 'x'), null, { to: 'unsure', why: 'ran: x' }],
  [
    'an answer that is too long to be kept',
    Verdicts.ran('ran', 'x'),
    'y'.repeat(4097),
    { to: 'ran', count: 1, digest: 'd', why: 'too long to be kept' },
  ],
];

describe('The outcome of a burst request', () => {
  for (const [name, verdict, text, expected] of cases)
    it(`is derived from ${name}`, () => {
      const answer = Takes.make();
      if (text !== null) {
        answer.sink.piece(1, text);
        answer.sink.end(1, 'd');
      }
      expect(Takes.outcome(verdict, answer)).to.deep.equal(expected);
    });
});
