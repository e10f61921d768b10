import { expect } from 'chai';
import { RestLimit } from './restlimit.js';

const at = (): { time: { now: number }; limit: ReturnType<typeof RestLimit.make> } => {
  const time = { now: 1000 };
  return { time, limit: RestLimit.make({ mono: () => time.now, wall: () => 0, after: () => () => undefined }) };
};

describe('idle connection limit', () => {
  it('is infinite while no connection was dropped', () => expect(at().limit.most()).to.equal(Infinity));
  for (const [name, rested, took, want] of [
    ['an idle time is too long if the connection closed right after the send', 2000, 3, 300],
    ['a connection cut while the server was working sets no limit', 2000, 400, Infinity],
    ['a connection that was in use a moment ago sets no limit', 5, 3, Infinity],
    ['a short idle time sets the shortest limit', 25, 3, 10],
  ] as const)
    it(name, () => {
      const { limit } = at();
      expect(limit.ended(rested, took)).to.equal(want !== Infinity);
      expect(limit.most()).to.equal(want);
    });
  it('only decreases while the observation counts, and is lifted afterwards', () => {
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
