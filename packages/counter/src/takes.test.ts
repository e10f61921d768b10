import { Verdicts, type Verdict } from '@pumicebarrow/forms';
import { expect } from 'chai';
import { Takes } from './takes.js';

const cases: [string, Verdict, string | null, object][] = [
  ['a whole answer', Verdicts.ran('ran', 'x'), 'text', { to: 'ran', text: 'text', count: 1, digest: 'd' }],
  ['a verdict of no', Verdicts.not('late', 'x'), null, { to: 'unrun' }],
  ['a cut', Verdicts.maybe('cut', 'x'), null, { to: 'unsure', why: 'cut: x' }],
  ['an earlier try that ran', Verdicts.ran('ran', 'x'), null, { to: 'unsure', why: 'ran: x' }],
  [
    'one too long to be kept',
    Verdicts.ran('ran', 'x'),
    'y'.repeat(4097),
    { to: 'ran', count: 1, digest: 'd', why: 'too long to be kept' },
  ],
];

describe('What a generation came to', () => {
  for (const [name, verdict, text, expected] of cases)
    it(`is told of ${name}`, () => {
      const answer = Takes.make();
      if (text !== null) {
        answer.sink.piece(1, text);
        answer.sink.end(1, 'd');
      }
      expect(Takes.outcome(verdict, answer)).to.deep.equal(expected);
    });
});
