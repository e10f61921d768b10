import { Random } from '@pumicebarrow/forms';
import { expect } from 'chai';
import { AgeWeighting } from './ageweighting.js';

/** The ages of the cache in figure 4.2 of the paper. */
const figureAges = [2, 4, 6, 8, 10, 12, 14, 16, 18, 20];
const cases: [string, (a: readonly number[]) => number[], readonly number[], number[]][] = [
  [
    'LINEAR over the cache of figure 4.2',
    AgeWeighting.linear,
    figureAges,
    [20, 18, 16, 14, 12, 10, 8, 6, 4, 2].map((w) => w / 110),
  ],
  ['LINEAR over equal ages', AgeWeighting.linear, [5, 5], [0.5, 0.5]],
  ['AGE2 over two different ages', AgeWeighting.inverseSquare, [1, 3], [0.9, 0.1]],
  [
    'AGE2 over the cache of figure 4.2',
    AgeWeighting.inverseSquare,
    figureAges,
    figureAges.map((x) => 1 / figureAges.reduce((s, a) => s + (x * x) / (a * a), 0)),
  ],
];

describe('AgeWeighting', () => {
  for (const [name, weighting, ages, want] of cases) {
    it(`gives the probabilities of the paper: ${name}`, () => {
      AgeWeighting.probabilities(weighting, ages).forEach((p, i) => expect(p).to.be.closeTo(want[i]!, 1e-12));
    });
    it(`samples by those probabilities: ${name}`, () => {
      const random = Random.seeded(7),
        hits = ages.map(() => 0),
        draws = 40_000;
      const items = ages.map((a, i) => ({ a, i }));
      for (let k = 0; k < draws; k++) hits[AgeWeighting.sample(random, items, 1, (x) => x.a, weighting, 1)[0]!.i]!++;
      hits.forEach((h, i) => expect(h / draws).to.be.closeTo(want[i]!, 0.01));
    });
  }
  it('samples distinct items, and all of them if there are fewer than requested', () => {
    const sample = AgeWeighting.sample(Random.seeded(1), [1, 2, 3], 5, (x) => x, AgeWeighting.inverseSquare, 1);
    expect([...sample].sort()).to.deep.equal([1, 2, 3]);
  });
});
