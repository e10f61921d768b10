import { expect } from 'chai';
import { RetryBudget } from './retrybudget.js';
import { RetryBudgets } from './retrybudgets.js';

const IDLE = 4 * 3_600_000;
const WINDOW = 10_000;
const RATIO = 0.2;
const STEP = 100;
const WINDOWS = 4;

type Case = {
  title: string;
  routers: number;
  slack: number;
  /** Requests at one router in one step; each of them asks for a retry. */
  requests: (router: number, step: number) => number;
  /** Fewest retries the fleet may get: as many as when each idle router could save one. */
  minRetries?: number;
};
const STEPS = WINDOW / STEP;
const firstStepOnly = (_: number, step: number): number => (step === 0 ? 1 : 0);
const evenly =
  (many: number) =>
  (router: number, step: number): number =>
    Math.floor(((step + 1) * many + router) / STEPS) - Math.floor((step * many + router) / STEPS);
const firstWindowOnly = (_: number, step: number): number => (step < STEPS ? evenly(20)(0, step) : 0);
const allAtOneRouter = (router: number, step: number): number => (router === 0 ? evenly(400)(0, step) : 0);
const everyOtherWindow = (router: number, step: number): number =>
  Math.floor(step / STEPS) % 2 === 0 ? evenly(13)(router, step) : 0;

/**
 * Runs the budgets of a fleet after hours without a request; returns the steps of all requests and of all retries
 * taken.
 */
const simulate = (c: Case, chargesCutReads = false): { asked: number[]; taken: number[] } => {
  let now = 0;
  const clock = { mono: () => now, wall: () => now, after: () => () => undefined };
  const terms = { ratio: RATIO, window: WINDOW, slack: c.slack };
  const all = Array.from({ length: c.routers }, () =>
    RetryBudget.make(
      clock,
      () => terms,
      () => c.routers,
    ),
  );
  const asked: number[] = [],
    taken: number[] = [];
  for (let step = 0; step < STEPS * WINDOWS; step++) {
    now = IDLE + step * STEP;
    all.forEach((b, router) => {
      for (let i = c.requests(router, step); i > 0; i--) {
        b.recordRequest();
        asked.push(step);
        if (b.tryTake()) taken.push(step);
        if (!chargesCutReads || !b.canCharge()) continue;
        b.charge();
        taken.push(step);
      }
    });
  }
  return { asked, taken };
};
/** By how many retries a window exceeds its limit; requests are counted in that window or in the one before it. */
const excess = (c: Case, asked: readonly number[], taken: readonly number[]): number => {
  const sums = (list: readonly number[]): number[] => {
    const out = new Array<number>(STEPS * WINDOWS + 1).fill(0);
    for (const s of list) out[s + 1]!++;
    for (let i = 1; i < out.length; i++) out[i]! += out[i - 1]!;
    return out;
  };
  const a = sums(asked),
    t = sums(taken);
  const within = (list: readonly number[], to: number): number =>
    (list[Math.max(0, to)] ?? 0) - (list[Math.max(0, to - STEPS)] ?? 0);
  return Math.max(
    ...t.map((_, to) => within(t, to) - RATIO * Math.max(within(a, to), within(a, to - STEPS)) - c.slack),
  );
};
const casesFor = (title: string, requests: Case['requests'], ...fleets: [number, number, number?][]): Case[] =>
  fleets.map(([routers, slack, least]) => ({
    ...{ title, routers, slack, requests },
    ...(least === undefined ? {} : { least }),
  }));
const cases: Case[] = [
  ...casesFor(
    'one request at each router at once',
    firstStepOnly,
    [7, 54, 7],
    [9, 54, 9],
    [80, 200, 80],
    [24, 20],
    [400, 54],
    [2900, 20],
    [2900, 54],
    [2900, 3000],
  ),
  ...casesFor(
    'one request at each router per window',
    evenly(1),
    [7, 54, 28],
    [9, 54, 36],
    [80, 200, 320],
    [50, 20],
    [400, 20],
    [2900, 20],
    [2900, 54],
    [2900, 3000],
  ),
  ...casesFor(
    'twelve requests at each router per window',
    evenly(12),
    [9, 54, 153],
    [80, 200, 800],
    [400, 20],
    [2900, 20],
  ),
  ...casesFor(
    'thirteen requests at each router in every other window',
    everyOtherWindow,
    [9, 54, 108],
    [80, 200, 480],
    [400, 20],
    [2900, 20],
  ),
  ...casesFor(
    'twenty requests at each router in the first window',
    firstWindowOnly,
    [9, 54, 54],
    [80, 200, 320],
    [2900, 20],
  ),
  ...casesFor(
    '121 requests at each router per window',
    evenly(121),
    [7, 54, 511],
    [9, 54, 621],
    [80, 200, 4880],
    [2900, 20],
  ),
  ...casesFor('all requests at one router', allAtOneRouter, [9, 54, 203], [80, 200, 178], [2900, 20]),
];

describe('the retry budgets of a fleet', () => {
  for (const c of cases)
    it(`${c.routers} routers, slack ${c.slack}: ${c.title}`, () => {
      const { asked, taken } = simulate(c);
      expect(asked).not.to.have.length(0);
      expect(excess(c, asked, taken)).to.be.at.most(0);
      if (c.minRetries !== undefined) expect(taken.length).to.be.at.least(c.minRetries);
    });
});

describe('the retry budgets of a fleet that also charges cut reads', () => {
  for (const c of cases)
    it(`${c.routers} routers, slack ${c.slack}: ${c.title}`, () => {
      const { asked, taken } = simulate(c, true);
      expect(excess(c, asked, taken)).to.be.at.most(0);
      expect(taken.length).to.be.at.least(simulate(c).taken.length);
    });
});

describe('retry budgets per service', () => {
  const clock = { mono: () => IDLE, wall: () => IDLE, after: () => () => undefined };
  const make = () =>
    RetryBudgets.make(
      clock,
      () => ({ ratio: RATIO, window: WINDOW, slack: 0 }),
      () => 1,
    );
  it('give a failing service no retries for the requests of another', () => {
    const all = make();
    for (let i = 0; i < 1000; i++) all.of('a').recordRequest();
    expect([all.of('b').tryTake(), all.of('a').tryTake()]).to.deep.equal([false, true]);
  });
  it('keep the most recently used services, and start empty', () => {
    const all = make();
    for (let i = 0; i < 1000; i++) all.of('a').recordRequest();
    for (let i = 0; i < 255; i++) all.of(`s${i}`).recordRequest();
    const saved = all.of('a').level();
    for (let i = 0; i < 256; i++) all.of(`t${i}`).recordRequest();
    expect([saved, all.of('a').level()]).to.deep.equal([1, 0]);
  });
});
