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

const cutoff = Verdicts.maybe('cut', 'x');
const held = ['a', 'b'];
const joins: [string, string[], boolean, Verdict, object][] = [
  ['one more piece', ['c'], true, cutoff, { to: 'cut', held: ['a', 'b', 'c'] }],
  ['no more pieces', [], true, cutoff, { to: 'unsure', why: 'cut: x' }],
  ['a rule that does not resume', ['c'], false, cutoff, { to: 'unsure', why: 'cut: x' }],
  ['pieces too long to be kept', ['y'.repeat(4095)], true, cutoff, { to: 'unsure', why: 'cut: x' }],
  ['a proof that it has not run', [], true, Verdicts.not('late', 'x'), { to: 'unrun' }],
  ['a fault that is no cut', ['c'], true, Verdicts.maybe('mayhaverun', 'x'), { to: 'unsure', why: 'mayhaverun: x' }],
];

describe('What a generation came to', () => {
  for (const [name, more, resumes, verdict, want] of joins)
    it(`is told of one that went on, with ${name}`, () => {
      const t = Takes.make(held);
      more.forEach((text, i) => t.sink.piece(i + 3, text));
      expect(Takes.outcome(verdict, t, resumes)).to.deep.equal(want);
    });
  it('is not a cut to go on from where the stream held a line that can not be', () => {
    const t = Takes.make(held);
    t.sink.piece(3, 'c');
    t.sink.spoilt!();
    expect(Takes.outcome(cutoff, t, true)).to.deep.equal({ to: 'unsure', why: 'cut: x' });
  });
  it('is the text of all pieces, also of those before', () => {
    const t = Takes.make(held);
    t.sink.piece(3, 'c');
    t.sink.end(3, 'd');
    expect(Takes.outcome(Verdicts.ran('ran', 'x'), t, true)).to.deep.equal({
      to: 'ran',
      text: 'abc',
      count: 3,
      digest: 'd',
    });
  });
  for (const [name, verdict, text, want] of cases)
    it(`is told of ${name}`, () => {
      const t = Takes.make();
      if (text !== null) {
        t.sink.piece(1, text);
        t.sink.end(1, 'd');
      }
      expect(Takes.outcome(verdict, t)).to.deep.equal(want);
    });
});
