import { expect } from 'chai';
import { BeatClock } from './beatclock.js';
import type { Clock } from './clock.js';
import { Timer } from './timer.js';

/** What a router does again and again, in ms: gossip, check-in, loads, list, sleep, settings. */
const DUTIES = [200, 450, 320, 600, 250, 1000];
const SPAN = 10_000;

/** Runs the duties for SPAN ms from an odd moment on; gives the instants at which the process had to wake. */
const wakes = async (of: (clock: Clock) => Clock): Promise<{ at: number[]; runs: number[] }> => {
  let now = 13.7;
  const due = new Map<() => void, number>();
  const clock = of({
    mono: () => now,
    wall: () => now,
    after(ms, fn) {
      const one = (): void => fn();
      due.set(one, now + ms);
      return () => void due.delete(one);
    },
  });
  const runs = DUTIES.map(() => 0);
  const stops: (() => void)[] = [];
  const settle = async (): Promise<void> => {
    for (let i = 0; i < 20; i++) await Promise.resolve();
  };
  for (const [i, ms] of DUTIES.entries()) {
    now += 7.3;
    stops.push(Timer.every(clock, ms, () => void runs[i]!++));
    await settle();
  }
  const at: number[] = [];
  for (;;) {
    await settle();
    const next = Math.min(...due.values());
    if (next > SPAN) break;
    now = next;
    at.push(now);
    for (const [fn, t] of [...due])
      if (t <= now) {
        due.delete(fn);
        fn();
      }
  }
  for (const stop of stops) stop();
  return { at, runs };
};

describe('A clock with common beats', () => {
  it('wakes an idle daemon no more than ten times a second, where each duty by itself wakes it oftener', async () => {
    const apart = await wakes((c) => c);
    const together = await wakes((c) => BeatClock.make(c, 100));
    expect(apart.at.length).to.be.above(150);
    // The ms to which a timer is rounded up may part two that are due at one beat.
    const beats = new Set(together.at.map((t) => Math.round(t / 10)));
    expect(beats.size).to.be.at.most(100);
  });
  it('runs each duty about as often as it was to run', async () => {
    const { runs } = await wakes((c) => BeatClock.make(c, 100));
    DUTIES.forEach((ms, i) => expect(runs[i]).to.be.within((SPAN / ms) * 0.8, (SPAN / ms) * 1.25 + 1));
  });
});
