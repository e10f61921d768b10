import { expect } from 'chai';
import fc from 'fast-check';
import { testClock } from './stand.test.js';
import { TenantShares } from './tenantshares.js';

const make = (works: readonly number[]) => {
  const time = testClock();
  const shares = TenantShares.make(time.clock);
  works.forEach((work, i) => shares.note(`t${i}`, work));
  return { time, shares };
};
const works = fc.array(fc.integer({ min: 10, max: 100_000 }), { minLength: 1, maxLength: 40 });
const part = fc.integer({ min: 0, max: 95 }).map((n) => n / 100);

describe('the shares of tenants under overload', () => {
  it('refuse the part asked for over all, nobody far more than others, and no more to who asks for less', () => {
    fc.assert(
      fc.property(works, part, (list, refused) => {
        const { shares } = make(list);
        const each = list.map((work, i) => ({ work, refused: shares.refused(`t${i}`, refused) }));
        const all = list.reduce((a, b) => a + b, 0);
        const sum = each.reduce((n, t) => n + t.work * t.refused, 0);
        expect(sum / all).to.be.closeTo(refused, 0.001);
        for (const t of each) expect(1 - t.refused).to.be.at.least((1 - refused) / 2 - 1e-9);
        const sorted = [...each].sort((a, b) => a.work - b.work);
        for (let i = 1; i < sorted.length; i++)
          expect(sorted[i]!.refused).to.be.at.least(sorted[i - 1]!.refused - 1e-9);
      }),
      { numRuns: 500 },
    );
  });
  const cases: [string, number[], number, number[]][] = [
    ['refuse one alone the part asked for', [500], 0.3, [0.3]],
    ['refuse equals alike', [500, 500], 0.3, [0.3, 0.3]],
    ['spare those that ask for little', [900, 50, 50], 0.2, [0.222, 0, 0]],
    ['leave the one that asks for most half of the average', [500, 250, 250], 0.5, [0.667, 0.333, 0.333]],
    ['refuse nobody where nothing is to be refused', [900, 50], 0, [0, 0]],
  ];
  for (const [name, list, refused, want] of cases)
    it(name, () => {
      const { shares } = make(list);
      list.forEach((_, i) => expect(shares.refused(`t${i}`, refused)).to.be.closeTo(want[i]!, 0.001));
    });
  it('forget what was asked for long ago', async () => {
    const { time, shares } = make([10_000]);
    await time.pass(30_000);
    shares.note('t1', 100);
    shares.note('t2', 100);
    expect(shares.refused('t1', 0.3)).to.be.closeTo(0.3, 0.01);
  });
});
