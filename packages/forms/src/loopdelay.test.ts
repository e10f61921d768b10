import { expect } from 'chai';
import type { Log } from './log.js';
import { LoopDelay } from './loopdelay.js';
import { RealClock } from './realclock.js';

const nap = (ms: number): Promise<void> => new Promise((done) => setTimeout(done, ms));
const block = (ms: number): void => {
  const until = performance.now() + ms;
  while (performance.now() < until);
};

describe('the delay of the event loop', () => {
  it('is seen where something blocks the loop, told once and kept as the longest', async () => {
    const warnings: string[] = [];
    const log: Log = { say: () => undefined, warn: (text) => void warnings.push(text) };
    const delay = LoopDelay.start(RealClock.make(), log, 300);
    const value = (name: string): number => delay.families().find((f) => f.name === name)!.samples[0]!.value;
    await nap(120);
    block(500);
    await nap(120);
    delay.summarize();
    expect(value('event_loop_delay_max_ms')).to.be.within(400, 1500);
    expect(warnings).to.have.length(1);
    expect(warnings[0]).to.match(/stood still for \d+ ms/);
    const longest = value('event_loop_delay_max_ms');
    delay.summarize();
    expect(value('event_loop_delay_ms')).to.be.lessThan(longest);
    expect(value('event_loop_delay_max_ms')).to.equal(longest);
    delay.stop();
  });
});
