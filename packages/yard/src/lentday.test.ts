import { Text } from '@pumicebarrow/sim';
import { expect } from 'chai';
import { LentDay } from './lentday.js';

const outcome = (i: number): string => {
  const digest = Text.digest('trial step ', `prompt ${Math.floor(i / 12)} `);
  return Array.from({ length: Text.count(digest, 24) }, (_, k) => Text.piece(digest, k + 1)).join('');
};
const list = () => Array.from({ length: 192 }, (_, i) => ({ state: 'ran', text: outcome(i) }));
const ran = () => Array.from({ length: 192 }, (_, i) => `trial.${i}.1`);

describe('The judge of a burst among real processes', () => {
  it('finds nothing wrong where each ran once', () => {
    expect(LentDay.judge(list(), [...ran(), 'y1'], 24)).to.deep.equal([]);
  });
  const cases: [string, (l: ReturnType<typeof list>, r: string[]) => void, string][] = [
    ['one that ran twice', (_l, r) => r.push('trial.7.2'), '7 ran 2 times'],
    ['one that is left', (l) => (l[3] = { ...l[3]!, state: 'begun' }), '3 has no outcome: begun'],
    ['one that never ran', (_l, r) => r.splice(5, 1), '5 has an outcome and never ran'],
    ['one with a piece too few', (l) => (l[9]!.text = l[9]!.text.slice(1)), '9 has an outcome that is not what ran'],
    ['one lost', (l) => l.pop(), 'the core holds 191 generations of 192'],
  ];
  for (const [name, bend, why] of cases)
    it(`finds ${name}`, () => {
      const l = list(),
        r = ran();
      bend(l, r);
      expect(LentDay.judge(l, r, 24)).to.deep.equal([why]);
    });
});
