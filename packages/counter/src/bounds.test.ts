import { Fading, type Rule, type World } from '@pumicebarrow/forms';
import { expect } from 'chai';
import { Ledger } from './ledger.js';
import { Shuns } from './shuns.js';
import { RequestDiary } from './requestdiary.js';
import { Queue } from './queue.js';

let now = 0;
const clock = { mono: () => now, wall: () => now, after: () => () => undefined };
const rule: Rule = {
  ...{ name: 'verdict', weight: 1, urgency: 9, limit: 1, waitlist: 1, deadline: 100, pieces: 1, bytes: 10 },
};

/** Fills one table with n things, and tells how many it holds. */
const cases: [string, number, number, (n: number) => number][] = [
  [
    'the ledger keeps the newest rows',
    200_100,
    200_000,
    (n) => {
      const l = Ledger.make(clock);
      for (let i = 0; i < n; i++) l.open(`k${i}`, 1, 'd', false, 'e1');
      expect(l.get('k0')).to.equal(undefined);
      expect(l.get(`k${n - 1}`)?.state).to.equal('open');
      return l.size();
    },
  ],
  [
    'the diary keeps the latest requests',
    1200,
    1024,
    (n) => {
      const diary = RequestDiary.make(clock);
      const world = diary.listen({ tell: () => undefined } as unknown as World);
      for (let i = 0; i < n; i++) world.tell({ what: 'gated', key: `k${i}`, attempt: 1 });
      return Array.from({ length: n }, (_, i) => diary.of(`k${i}`).length).filter((x) => x > 0).length;
    },
  ],
  [
    'shuns of lives long past are forgotten',
    3000,
    1024,
    (n) => {
      const s = Shuns.make(clock);
      for (let i = 0; i < n; i++) s.add('m1', `life${i}`, 500);
      expect(s.has('m1', `life${n - 1}`)).to.equal(true);
      return s.size();
    },
  ],
  [
    'a table that fades ends its entries by time too',
    50,
    1,
    (n) => {
      const t = Fading.make<number>(clock.mono, 100);
      for (let i = 0; i < n; i++) t.set(`k${i}`, i, 10);
      now += 10;
      t.set('last', 1, 10);
      expect(t.get('k1')).to.equal(undefined);
      return t.size();
    },
  ],
  [
    'a queue counts those that wait, for admission to refuse the rest',
    500,
    500,
    (n) => {
      const w = Queue.make(clock);
      for (let i = 0; i < n; i++) w.enter(rule, now + 100);
      const held = w.length('verdict');
      w.clear();
      expect(w.total()).to.equal(0);
      return held;
    },
  ],
];

describe('What a counter daemon holds is bounded:', () => {
  for (const [name, n, most, fill] of cases) {
    it(name, () => {
      expect(fill(n)).to.equal(most);
    });
  }
});
