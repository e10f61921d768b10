import { Dice } from '@pumicebarrow/forms';
import { expect } from 'chai';
import { AgeWeighting } from './ageing.js';

const paper = [2, 4, 6, 8, 10, 12, 14, 16, 18, 20];
const cases: [string, (a: readonly number[]) => number[], readonly number[], number[]][] = [
  [
    'LINEAR over the cache of figure 4.2',
    AgeWeighting.linear,
    paper,
    [20, 18, 16, 14, 12, 10, 8, 6, 4, 2].map((w) => w / 110),
  ],
  ['LINEAR over one age', AgeWeighting.linear, [5, 5], [0.5, 0.5]],
  ['AGE2 over two ages', AgeWeighting.inverseSquare, [1, 3], [0.9, 0.1]],
  [
    'AGE2 over the cache of figure 4.2',
    AgeWeighting.inverseSquare,
    paper,
    paper.map((x) => 1 / paper.reduce((s, a) => s + (x * x) / (a * a), 0)),
  ],
];

describe('Ageing', () => {
  for (const [name, weigh, ages, want] of cases) {
    it(`gives the source's chances: ${name}`, () => {
      AgeWeighting.probabilities(weigh, ages).forEach((p, i) => expect(p).to.be.closeTo(want[i]!, 1e-12));
    });
    it(`draws by those chances: ${name}`, () => {
      const dice = Dice.seeded(7),
        hits = ages.map(() => 0),
        times = 40_000;
      const items = ages.map((a, i) => ({ a, i }));
      for (let k = 0; k < times; k++) hits[AgeWeighting.sample(dice, items, 1, (x) => x.a, weigh, 1)[0]!.i]!++;
      hits.forEach((h, i) => expect(h / times).to.be.closeTo(want[i]!, 0.01));
    });
  }
  it('draws distinct items, and all of them when there are few', () => {
    const got = AgeWeighting.sample(Dice.seeded(1), [1, 2, 3], 5, (x) => x, AgeWeighting.inverseSquare, 1);
    expect([...got].sort()).to.deep.equal([1, 2, 3]);
  });
});
