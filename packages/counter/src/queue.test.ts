import type { NamedRoute } from '@pumicebarrow/forms';
import { expect } from 'chai';
import { RetryBudget } from './retrybudget.js';
import { Queue } from './queue.js';

const route = (name: string, urgency: number): NamedRoute => ({
  name,
  weight: 1,
  urgency,
  limit: 9,
  waitlist: 9,
  deadline: 1000,
  pieces: 1,
  bytes: 1,
});
const review = route('review', 1),
  verdict = route('verdict', 9);

describe('Queue', () => {
  const setup = () => {
    const timers: { at: number; fn: () => void }[] = [];
    const queue = Queue.make({
      mono: () => 0,
      wall: () => 0,
      after: (at, fn) => {
        timers.push({ at, fn });
        return () => undefined;
      },
    });
    const outcomes: string[] = [];
    const enter = (name: string, route: NamedRoute, due: number) => {
      const entry = queue.enter(route, due);
      void entry.turn.then((granted) => outcomes.push(granted ? name : `${name} given up`));
      return entry;
    };
    return { queue, enter, outcomes, timers };
  };
  const cases: [string, [string, NamedRoute, number][], number, string[]][] = [
    [
      'the most urgent first',
      [
        ['r', review, 5],
        ['v', verdict, 900],
      ],
      9,
      ['v', 'r'],
    ],
    [
      'then the earliest deadline',
      [
        ['a', review, 500],
        ['b', review, 300],
      ],
      9,
      ['b', 'a'],
    ],
    [
      'then the first to arrive',
      [
        ['a', review, 500],
        ['b', review, 500],
      ],
      9,
      ['a', 'b'],
    ],
    [
      'to only as many as there is room for',
      [
        ['a', review, 1],
        ['b', review, 2],
        ['c', review, 3],
      ],
      2,
      ['a', 'b'],
    ],
  ];
  for (const [name, entries, room, expected] of cases) {
    it(`grants turns: ${name}`, async () => {
      const s = setup();
      for (const [entryName, entryRoute, due] of entries) s.enter(entryName, entryRoute, due);
      let roomLeft = room;
      s.queue.grantTurns(() => roomLeft-- > 0);
      await Promise.resolve();
      expect(s.outcomes).to.deep.equal(expected);
    });
  }
  const waits: [string, number, number, number, number][] = [
    ['zero if no turns were granted yet', 0, 20, 1, 0],
    ['zero with few requests ahead', 10, 3, 1, 0],
    ['by the rate of turns for the least urgent', 10, 20, 1, 600],
    ['zero for the most urgent', 10, 20, 9, 0],
  ];
  for (const [name, granted, ahead, urgency, expected] of waits) {
    it(`estimates the wait: ${name}`, () => {
      const s = setup();
      for (let i = 0; i < granted; i++) s.enter('x', review, 9);
      s.queue.grantTurns(() => true);
      for (let i = 0; i < ahead; i++) s.enter('y', review, 9);
      expect(s.queue.estimateWaitMs(urgency)).to.equal(expected);
    });
  }
  it('does not let a request without room block those behind it', async () => {
    const s = setup();
    s.enter('v', verdict, 1);
    s.enter('r', review, 2);
    s.queue.grantTurns((r) => r.name === 'review');
    await Promise.resolve();
    expect(s.outcomes).to.deep.equal(['r']);
    expect(s.queue.length('verdict')).to.equal(1);
  });
  it('fails a request once, at its deadline', async () => {
    const s = setup();
    s.enter('a', review, 700);
    expect(s.timers[0]!.at).to.equal(700);
    s.timers[0]!.fn();
    s.queue.grantTurns(() => true);
    await Promise.resolve();
    expect(s.outcomes).to.deep.equal(['a given up']);
    expect(s.queue.total()).to.equal(0);
  });
});

describe('RetryBudget', () => {
  it('starts empty and never allows more retries than a fifth of the requests', () => {
    const budget = RetryBudget.make(0.2, 3);
    let retries = budget.tryTake() ? 1 : 0;
    for (let i = 0; i < 1000; i++) {
      budget.recordRequest();
      if (budget.tryTake()) retries++;
    }
    expect(retries).to.be.at.most(200);
    expect(retries).to.be.at.least(150);
  });
  it('accumulates no more tokens than its capacity', () => {
    const budget = RetryBudget.make(0.2, 3);
    for (let i = 0; i < 1000; i++) budget.recordRequest();
    expect([1, 2, 3, 4].map(() => budget.tryTake())).to.deep.equal([true, true, true, false]);
  });
});
