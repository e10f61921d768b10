import { expect } from 'chai';
import { PeriodicChecks } from './periodicchecks.js';
import { testClock } from './fixtures.test.js';

describe('periodic checks on one timer', () => {
  it('run each check once per interval until it is removed', async () => {
    const time = testClock();
    let timers = 0;
    const after = (ms: number, fn: () => void): (() => void) => {
      timers++;
      return time.clock.after(ms, fn);
    };
    const add = PeriodicChecks.make({ ...time.clock, after }, 100);
    const seen = { a: 0, b: 0 };
    const ends = [add(() => seen.a++), add(() => seen.b++)];
    await time.advance(1000);
    expect(seen.a).to.be.within(10, 11);
    expect(seen.b).to.be.within(9, 11);
    expect(timers).to.be.at.most(11);
    ends[0]!();
    const { a, b } = seen;
    await time.advance(300);
    expect([seen.a, seen.b]).to.deep.equal([a, b + 3]);
    ends[1]!();
    await time.advance(200);
    const stood = timers;
    await time.advance(2000);
    expect(timers).to.equal(stood);
    add(() => seen.a++);
    await time.advance(500);
    expect(seen.a).to.be.within(a + 5, a + 6);
  });
});
