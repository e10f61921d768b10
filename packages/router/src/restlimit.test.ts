import { expect } from 'chai';
import { RestLimit } from './restlimit.js';

const at = (): { time: { now: number }; limit: ReturnType<typeof RestLimit.make> } => {
  const time = { now: 1000 };
  return { time, limit: RestLimit.make({ mono: () => time.now, wall: () => 0, after: () => () => undefined }) };
};

describe('How long connections may rest', () => {
  it('has no limit while none was forgotten', () => expect(at().limit.most()).to.equal(Infinity));
  for (const [name, rested, took, want] of [
    ['a rest whose connection ended at once is too long', 2000, 3, 300],
    ['a connection cut while the server was at work says nothing', 2000, 400, Infinity],
    ['one that was in use a moment ago says nothing', 5, 3, Infinity],
    ['a short rest leaves a short one', 25, 3, 10],
  ] as const)
    it(name, () => {
      const { limit } = at();
      expect(limit.ended(rested, took)).to.equal(want !== Infinity);
      expect(limit.most()).to.equal(want);
    });
  it('only falls while its word counts, and is lifted after it', () => {
    const { time, limit } = at();
    limit.ended(1000, 1);
    time.now += 9000;
    limit.ended(4000, 1);
    expect(limit.most()).to.equal(150);
    time.now += 9999;
    expect(limit.most()).to.equal(150);
    time.now += 1;
    expect(limit.most()).to.equal(Infinity);
    limit.ended(4000, 1);
    expect(limit.most()).to.equal(600);
  });
});
