import { ExpiringMap, type NamedRoute, type World } from '@pumicebarrow/forms';
import { expect } from 'chai';
import { Ledger } from './ledger.js';
import { Ejections } from './ejections.js';
import { RequestLog } from './requestlog.js';
import { Queue } from './queue.js';

let now = 0;
const clock = { mono: () => now, wall: () => now, after: () => () => undefined };
const route: NamedRoute = {
  ...{ name: 'verdict', weight: 1, urgency: 9, limit: 1, waitlist: 1, deadline: 100, pieces: 1, bytes: 10 },
};

/** Title, number of entries added, number expected to be kept, and a function that adds them and counts the kept. */
const cases: [string, number, number, (n: number) => number][] = [
  [
    'the ledger keeps the newest entries',
    200_100,
    200_000,
    (n) => {
      const ledger = Ledger.make(clock);
      for (let i = 0; i < n; i++) ledger.open(`k${i}`, 1, 'd', false, 'e1');
      expect(ledger.get('k0')).to.equal(undefined);
      expect(ledger.get(`k${n - 1}`)?.state).to.equal('open');
      return ledger.size();
    },
  ],
  [
    'the log of requests keeps the latest requests',
    1200,
    1024,
    (n) => {
      const requestLog = RequestLog.make(clock);
      const world = requestLog.recordEvents({ recordEvent: () => undefined } as unknown as World);
      for (let i = 0; i < n; i++) world.recordEvent({ what: 'gated', key: `k${i}`, attempt: 1 });
      return Array.from({ length: n }, (_, i) => requestLog.stepsOf(`k${i}`).length).filter((x) => x > 0).length;
    },
  ],
  [
    'ejections of incarnations long past are forgotten',
    3000,
    1024,
    (n) => {
      const ejections = Ejections.make(clock);
      for (let i = 0; i < n; i++) ejections.add('m1', `life${i}`, 500);
      expect(ejections.has('m1', `life${n - 1}`)).to.equal(true);
      return ejections.size();
    },
  ],
  [
    'an expiring map drops its entries by age too',
    50,
    1,
    (n) => {
      const map = ExpiringMap.make<number>(clock.mono, 100);
      for (let i = 0; i < n; i++) map.set(`k${i}`, i, 10);
      now += 10;
      map.set('last', 1, 10);
      expect(map.get('k1')).to.equal(undefined);
      return map.size();
    },
  ],
  [
    'a queue counts its entries, so that admission can refuse the rest',
    500,
    500,
    (n) => {
      const queue = Queue.make(clock);
      for (let i = 0; i < n; i++) queue.enter(route, now + 100);
      const queued = queue.length('verdict');
      queue.clear();
      expect(queue.total()).to.equal(0);
      return queued;
    },
  ],
];

describe('Bounded memory of a counter daemon:', () => {
  for (const [name, added, kept, fill] of cases) {
    it(name, () => {
      expect(fill(added)).to.equal(kept);
    });
  }
});
