import { expect } from 'chai';
import { IdleConnectionLimit } from './idleconnectionlimit.js';

const at = (): { time: { now: number }; limit: ReturnType<typeof IdleConnectionLimit.make> } => {
  const time = { now: 1000 };
  return {
    time,
    limit: IdleConnectionLimit.make({ mono: () => time.now, wall: () => 0, after: () => () => undefined }),
  };
};

describe('idle connection limit', () => {
  it('is infinite while no connection was dropped', () => expect(at().limit.maxIdleMs()).to.equal(Infinity));
  for (const [name, rested, took, want] of [
    ['an idle time is too long if the connection closed right after the send', 2000, 3, 300],
    ['a connection cut while the server was working sets no limit', 2000, 400, Infinity],
    ['a connection that was in use a moment ago sets no limit', 5, 3, Infinity],
    ['a short idle time sets the shortest limit', 25, 3, 10],
  ] as const)
    it(name, () => {
      const { limit } = at();
      expect(limit.recordClose(rested, took)).to.equal(want !== Infinity);
      expect(limit.maxIdleMs()).to.equal(want);
    });
  it('only decreases while the observation counts, and is lifted afterwards', () => {
    const { time, limit } = at();
    limit.recordClose(1000, 1);
    time.now += 9000;
    limit.recordClose(4000, 1);
    expect(limit.maxIdleMs()).to.equal(150);
    time.now += 9999;
    expect(limit.maxIdleMs()).to.equal(150);
    time.now += 1;
    expect(limit.maxIdleMs()).to.equal(Infinity);
    limit.recordClose(4000, 1);
    expect(limit.maxIdleMs()).to.equal(600);
  });
});
