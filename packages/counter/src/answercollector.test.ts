import { Verdicts, type Verdict } from '@pumicebarrow/forms';
import { expect } from 'chai';
import { AnswerCollector } from './answercollector.js';

const cases: [string, Verdict, string | null, object][] = [
  ['a complete answer', Verdicts.ran('ran', 'x'), 'text', { to: 'ran', text: 'text', count: 1, digest: 'd' }],
  ['a verdict that it did not run', Verdicts.notRun('late', 'x'), null, { to: 'unrun' }],
  ['a cut answer', Verdicts.maybeRun('cut', 'x'), null, { to: 'unsure', why: 'cut: x' }],
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
      const answer = AnswerCollector.make();
      if (text !== null) {
        answer.writer.writePiece(1, text);
        answer.writer.end(1, 'd');
      }
      expect(AnswerCollector.outcome(verdict, answer)).to.deep.equal(expected);
    });
});
