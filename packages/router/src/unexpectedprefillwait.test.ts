import { expect } from 'chai';
import { UnexpectedPrefillWait } from './unexpectedprefillwait.js';
import { testClock } from './fixtures.test.js';

describe('unexpected waits of prefill reads', () => {
  it('are learned in a fleet heard only in part, and decay without new samples', async () => {
    const time = testClock();
    let apart = true;
    const wait = UnexpectedPrefillWait.make(time.clock, () => apart);
    expect(wait.currentMeanMs()).to.equal(0);
    for (let i = 0; i < 60; i++) wait.record(i % 2 ? 400 : -50);
    expect(wait.currentMeanMs()).to.be.within(150, 250);
    apart = false;
    expect(wait.currentMeanMs()).to.equal(0);
    apart = true;
    await time.advance(30_000);
    expect(wait.currentMeanMs()).to.be.below(2);
    for (let i = 0; i < 200; i++) wait.record(60_000);
    expect(wait.currentMeanMs()).to.be.at.most(1000);
  });
});
