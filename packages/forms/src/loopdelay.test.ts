import { expect } from 'chai';
import type { Log } from './log.js';
import { LoopDelay } from './loopdelay.js';
import { SystemClock } from './systemclock.js';

const sleep = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));
const blockLoop = (ms: number): void => {
  const until = performance.now() + ms;
  while (performance.now() < until);
};

describe('LoopDelay', () => {
  it('measures a blocked event loop, warns once and keeps the longest delay', async () => {
    const warnings: string[] = [];
    const log: Log = { info: () => undefined, warn: (text) => void warnings.push(text) };
    const delay = LoopDelay.start(SystemClock.make(), log, 300);
    const value = (name: string): number => delay.families().find((f) => f.name === name)!.samples[0]!.value;
    await sleep(120);
    blockLoop(500);
    await sleep(120);
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
