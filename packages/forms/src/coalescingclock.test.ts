import { expect } from 'chai';
import { CoalescingClock } from './coalescingclock.js';
import type { Clock } from './clock.js';
import { Timer } from './timer.js';

/** Periods of a router's recurring tasks: gossip, check-in, loads, server list, suspension check, settings. */
const TASK_PERIODS_MS = [200, 450, 320, 600, 250, 1000];
const SPAN_MS = 10_000;

/** Runs the tasks for SPAN_MS from an arbitrary start; returns the instants of wake-ups and the runs of each task. */
const simulate = async (wrap: (clock: Clock) => Clock): Promise<{ at: number[]; runs: number[] }> => {
  let now = 13.7;
  const due = new Map<() => void, number>();
  const clock = wrap({
    mono: () => now,
    wall: () => now,
    after(ms, fn) {
      const timer = (): void => fn();
      due.set(timer, now + ms);
      return () => void due.delete(timer);
    },
  });
  const runs = TASK_PERIODS_MS.map(() => 0);
  const stops: (() => void)[] = [];
  const runPending = async (): Promise<void> => {
    for (let i = 0; i < 20; i++) await Promise.resolve();
  };
  for (const [i, ms] of TASK_PERIODS_MS.entries()) {
    now += 7.3;
    stops.push(Timer.every(clock, ms, () => void runs[i]!++));
    await runPending();
  }
  const at: number[] = [];
  for (;;) {
    await runPending();
    const next = Math.min(...due.values());
    if (next > SPAN_MS) break;
    now = next;
    at.push(now);
    for (const [fn, dueAt] of [...due])
      if (dueAt <= now) {
        due.delete(fn);
        fn();
      }
  }
  for (const stop of stops) stop();
  return { at, runs };
};

describe('CoalescingClock', () => {
  it('wakes an idle daemon at most ten times per second, fewer than its tasks would without it', async () => {
    const separate = await simulate((c) => c);
    const coalesced = await simulate((c) => CoalescingClock.make(c, 100));
    expect(separate.at.length).to.be.above(150);
    // Rounding up to whole ms may separate two timers that are due at the same grid point.
    const gridPoints = new Set(coalesced.at.map((t) => Math.round(t / 10)));
    expect(gridPoints.size).to.be.at.most(100);
  });
  it('runs each task about as often as its period requires', async () => {
    const { runs } = await simulate((c) => CoalescingClock.make(c, 100));
    TASK_PERIODS_MS.forEach((ms, i) => expect(runs[i]).to.be.within((SPAN_MS / ms) * 0.8, (SPAN_MS / ms) * 1.25 + 1));
  });
});
