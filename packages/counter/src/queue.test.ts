import type { Rule } from '@pumicebarrow/forms';
import { expect } from 'chai';
import { Bucket } from './bucket.js';
import { Queue } from './queue.js';

const rule = (name: string, urgency: number): Rule => ({
  name,
  weight: 1,
  urgency,
  limit: 9,
  waitlist: 9,
  deadline: 1000,
  pieces: 1,
  bytes: 1,
});
const review = rule('review', 1),
  verdict = rule('verdict', 9);

describe('Queue', () => {
  const make = () => {
    const timers: { at: number; fn: () => void }[] = [];
    const list = Queue.make({
      mono: () => 0,
      wall: () => 0,
      after: (at, fn) => {
        timers.push({ at, fn });
        return () => undefined;
      },
    });
    const went: string[] = [];
    const enter = (name: string, r: Rule, due: number) => {
      const w = list.enter(r, due);
      void w.turn.then((go) => went.push(go ? name : `${name} given up`));
      return w;
    };
    return { list, enter, went, timers };
  };
  const cases: [string, [string, Rule, number][], number, string[]][] = [
    [
      'the urgent first',
      [
        ['r', review, 5],
        ['v', verdict, 900],
      ],
      9,
      ['v', 'r'],
    ],
    [
      'then the one due soonest',
      [
        ['a', review, 500],
        ['b', review, 300],
      ],
      9,
      ['b', 'a'],
    ],
    [
      'then the first to come',
      [
        ['a', review, 500],
        ['b', review, 500],
      ],
      9,
      ['a', 'b'],
    ],
    [
      'only as many as there is room for',
      [
        ['a', review, 1],
        ['b', review, 2],
        ['c', review, 3],
      ],
      2,
      ['a', 'b'],
    ],
  ];
  for (const [name, list, room, want] of cases) {
    it(`gives turns: ${name}`, async () => {
      const t = make();
      for (const [n, r, due] of list) t.enter(n, r, due);
      let left = room;
      t.list.pump(() => left-- > 0);
      await Promise.resolve();
      expect(t.went).to.deep.equal(want);
    });
  }
  const waits: [string, number, number, number, number][] = [
    ['nothing known yet', 0, 20, 1, 0],
    ['few ahead', 10, 3, 1, 0],
    ['many ahead of the least urgent', 10, 20, 1, 600],
    ['none ahead of the most urgent', 10, 20, 9, 0],
  ];
  for (const [name, given, ahead, urgency, want] of waits) {
    it(`foresees a wait: ${name}`, () => {
      const t = make();
      for (let i = 0; i < given; i++) t.enter('x', review, 9);
      t.list.pump(() => true);
      for (let i = 0; i < ahead; i++) t.enter('y', review, 9);
      expect(t.list.foresee(urgency)).to.equal(want);
    });
  }
  it('does not let one without room hold up those behind it', async () => {
    const t = make();
    t.enter('v', verdict, 1);
    t.enter('r', review, 2);
    t.list.pump((r) => r.name === 'review');
    await Promise.resolve();
    expect(t.went).to.deep.equal(['r']);
    expect(t.list.length('verdict')).to.equal(1);
  });
  it('gives up at the due time, at once and once', async () => {
    const t = make();
    t.enter('a', review, 700);
    expect(t.timers[0]!.at).to.equal(700);
    t.timers[0]!.fn();
    t.list.pump(() => true);
    await Promise.resolve();
    expect(t.went).to.deep.equal(['a given up']);
    expect(t.list.total()).to.equal(0);
  });
});

describe('Bucket', () => {
  it('starts empty and never gives more than a fifth of the requests', () => {
    const b = Bucket.make(0.2, 3);
    let taken = b.take() ? 1 : 0;
    for (let i = 0; i < 1000; i++) {
      b.request();
      if (b.take()) taken++;
    }
    expect(taken).to.be.at.most(200);
    expect(taken).to.be.at.least(150);
  });
  it('saves up no more than its cap', () => {
    const b = Bucket.make(0.2, 3);
    for (let i = 0; i < 1000; i++) b.request();
    expect([1, 2, 3, 4].map(() => b.take())).to.deep.equal([true, true, true, false]);
  });
});
