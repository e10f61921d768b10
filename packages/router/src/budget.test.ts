import { expect } from 'chai';
import { Budget } from './budget.js';
import { Budgets } from './budgets.js';

const IDLE = 4 * 3_600_000;
const WINDOW = 10_000;
const RATIO = 0.2;
const STEP = 100;
const WINDOWS = 4;

type Case = {
  title: string;
  routers: number;
  slack: number;
  /** Requests at one router in one step, of which each asks for a further try. */
  requests: (router: number, step: number) => number;
  /** What a fleet of this size had when each idle router could save one, if it is to have no less. */
  least?: number;
};
const STEPS = WINDOW / STEP;
const once = (_: number, step: number): number => (step === 0 ? 1 : 0);
const each =
  (many: number) =>
  (router: number, step: number): number =>
    Math.floor(((step + 1) * many + router) / STEPS) - Math.floor((step * many + router) / STEPS);
const first = (_: number, step: number): number => (step < STEPS ? each(20)(0, step) : 0);
const one = (router: number, step: number): number => (router === 0 ? each(400)(0, step) : 0);
const wave = (router: number, step: number): number =>
  Math.floor(step / STEPS) % 2 === 0 ? each(13)(router, step) : 0;

/** Budgets of a fleet after hours without a request; the times of all requests and of all tries taken. */
const play = (c: Case, owes = false): { asked: number[]; taken: number[] } => {
  let now = 0;
  const clock = { mono: () => now, wall: () => now, after: () => () => undefined };
  const terms = { ratio: RATIO, window: WINDOW, slack: c.slack };
  const all = Array.from({ length: c.routers }, () =>
    Budget.make(
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
        b.request();
        asked.push(step);
        if (b.take()) taken.push(step);
        if (!owes || !b.bears()) continue;
        b.owe();
        taken.push(step);
      }
    });
  }
  return { asked, taken };
};
/** By how many tries a window holds more than it may; requests are counted in it or in the one before. */
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
const some = (title: string, requests: Case['requests'], ...fleets: [number, number, number?][]): Case[] =>
  fleets.map(([routers, slack, least]) => ({
    ...{ title, routers, slack, requests },
    ...(least === undefined ? {} : { least }),
  }));
const cases: Case[] = [
  ...some(
    'one request at each at once',
    once,
    [7, 54, 7],
    [9, 54, 9],
    [80, 200, 80],
    [24, 20],
    [400, 54],
    [2900, 20],
    [2900, 54],
    [2900, 3000],
  ),
  ...some(
    'one request at each in a window',
    each(1),
    [7, 54, 28],
    [9, 54, 36],
    [80, 200, 320],
    [50, 20],
    [400, 20],
    [2900, 20],
    [2900, 54],
    [2900, 3000],
  ),
  ...some('twelve requests at each in a window', each(12), [9, 54, 153], [80, 200, 800], [400, 20], [2900, 20]),
  ...some('thirteen requests at each in one window of two', wave, [9, 54, 108], [80, 200, 480], [400, 20], [2900, 20]),
  ...some('twenty requests at each in the first window', first, [9, 54, 54], [80, 200, 320], [2900, 20]),
  ...some('121 requests at each in a window', each(121), [7, 54, 511], [9, 54, 621], [80, 200, 4880], [2900, 20]),
  ...some('all requests at one router', one, [9, 54, 203], [80, 200, 178], [2900, 20]),
];

describe('the budgets of a fleet', () => {
  for (const c of cases)
    it(`${c.routers} routers, slack ${c.slack}: ${c.title}`, () => {
      const { asked, taken } = play(c);
      expect(asked).not.to.have.length(0);
      expect(excess(c, asked, taken)).to.be.at.most(0);
      if (c.least !== undefined) expect(taken.length).to.be.at.least(c.least);
    });
});

describe('the budgets of a fleet whose reads are cut', () => {
  for (const c of cases)
    it(`${c.routers} routers, slack ${c.slack}: ${c.title}`, () => {
      const { asked, taken } = play(c, true);
      expect(excess(c, asked, taken)).to.be.at.most(0);
      expect(taken.length).to.be.at.least(play(c).taken.length);
    });
});

describe('the budgets of services', () => {
  const clock = { mono: () => IDLE, wall: () => IDLE, after: () => () => undefined };
  const make = () =>
    Budgets.make(
      clock,
      () => ({ ratio: RATIO, window: WINDOW, slack: 0 }),
      () => 1,
    );
  it('give a service that fails no further tries for the requests of another', () => {
    const all = make();
    for (let i = 0; i < 1000; i++) all.of('a').request();
    expect([all.of('b').take(), all.of('a').take()]).to.deep.equal([false, true]);
  });
  it('are as many as were used last, and begin with nothing', () => {
    const all = make();
    for (let i = 0; i < 1000; i++) all.of('a').request();
    for (let i = 0; i < 255; i++) all.of(`s${i}`).request();
    const saved = all.of('a').level();
    for (let i = 0; i < 256; i++) all.of(`t${i}`).request();
    expect([saved, all.of('a').level()]).to.deep.equal([1, 0]);
  });
});
