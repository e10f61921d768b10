import { expect } from 'chai';
import { Bounds } from './bounds.js';
import type { Figure } from './figure.js';
import { Runs } from './runs.js';
import { Slope } from './slope.js';

const SIZES: Record<string, readonly number[]> = {
  fleet: [25, 50, 75],
  servers: [4, 8, 16],
  spread: [25, 50, 100, 200],
  newcomer: [25, 50, 100],
};

describe('What control costs, as it was counted', () => {
  const all: Figure[] = [];
  before(async () => {
    for (const [name, sizes] of Object.entries(SIZES))
      for (const n of sizes) all.push(...(await Runs[name]!.job(n, 7)));
  });
  for (const b of Bounds.list) {
    it(`${Bounds.name(b)}: ${b.why}`, () => {
      const slope = Bounds.slope(all, b);
      expect(slope).to.be.at.most(b.most);
      // A made-up cost that grows by one order more breaks this bound.
      const least = Math.min(...all.filter((f) => f.run === b.run).map((f) => f.at));
      const worse = all.map((f) =>
        f.run === b.run && f.what === b.what ? { ...f, value: (f.value * f.at) / least } : f,
      );
      expect(Bounds.broken(worse)).to.include(Bounds.name(b));
    });
  }
  it('takes figures that are missing for broken', () => {
    expect(Bounds.broken([])).to.have.length(Bounds.list.length);
  });
  it('counts the same from the same seed', async () => {
    const again = await Runs['fleet']!.job(25, 7);
    expect(again).to.deep.equal(all.filter((f) => f.run === 'fleet' && f.at === 25));
  });
});

describe('A slope', () => {
  const cases = [
    [
      'line',
      [
        [1, 5],
        [2, 7],
        [4, 11],
      ],
      2,
      10,
      23,
    ],
    [
      'log',
      [
        [2, 1],
        [4, 3],
        [8, 5],
      ],
      2,
      16,
      7,
    ],
    [
      'power',
      [
        [1, 3],
        [2, 12],
        [4, 48],
      ],
      2,
      10,
      300,
    ],
  ] as const;
  for (const [shape, points, b, x, y] of cases)
    it(`is found in a ${shape}`, () => {
      const fit = Slope.fit(shape, points);
      expect(fit.b).to.be.closeTo(b, 1e-9);
      expect(fit.at(x)).to.be.closeTo(y, 1e-6);
      expect([fit.from, fit.to]).to.deep.equal([points[0][0], points[2][0]]);
    });
});
