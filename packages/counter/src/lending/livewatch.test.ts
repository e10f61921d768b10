import { Ok, type Ident, type PostBox } from '@pumicebarrow/forms';
import type { Loan } from '@pumicebarrow/registry';
import { expect } from 'chai';
import { LiveWatch } from './livewatch.js';

const who = (id: string): Ident => ({ id, born: 'b', addr: id, site: 's', role: 'counter' });
/** Two daemons, one decode server of 8 slots: the share of each is 6, and 3 while 4 are lent. */
const rig = (lent: number) => {
  let now = 0;
  const is = { load: 0, waiting: 0, admission: 0, fleet: 8 };
  const mails: string[] = [],
    told: string[] = [];
  const loan: Loan = {
    ...{
      server: 'm1',
      born: 'x',
      part: 'decode',
      slots: lent,
      holder: 'e2',
      burst: 'a',
      why: 'lent',
      by: 'e1',
      since: 0,
    },
  };
  const watch = LiveWatch.make({
    clock: { mono: () => now } as never,
    post: {
      ask: (addr: string, _id: string, kind: string) => {
        mails.push(`${kind} ${addr}`);
        return Promise.resolve(Ok({ ok: true, running: 0 }));
      },
    } as unknown as PostBox,
    choice: { usable: (part: string) => (part === 'decode' ? [{ id: 'm1' }] : []) } as never,
    loads: { at: (id: string) => (id === 'm1' ? is.load : 0) } as never,
    loans: () => [loan],
    slots: () => 8,
    waiting: (part) => (part === 'decode' ? is.waiting : is.admission),
    load: () => ({ read: is.fleet, write: is.fleet }),
    roster: () => [who('e1'), who('e2')],
    lender: () => who('e1'),
    tell: (part, servers) => void told.push(`${part} ${servers.join()}`),
  });
  return {
    ...{ is, mails, told },
    arrive: (weight = 1): void => watch.arrived({ weight } as never),
    handed: (): void => watch.handed({ weight: 1 } as never),
    wait: (ms: number): void => {
      now += ms;
    },
  };
};
const cases: [
  string,
  number,
  { load: number; waiting: number; admission?: number; fleet?: number },
  number,
  boolean,
][] = [
  ['the first live request of an idle daemon, however heavy', 4, { load: 0, waiting: 0 }, 9, false],
  ['one that has room beside what is lent', 4, { load: 2, waiting: 0 }, 1, false],
  ['one that would wait', 4, { load: 3, waiting: 0 }, 1, true],
  ['one that would wait behind others', 4, { load: 2, waiting: 1 }, 1, true],
  ['one behind others that wait for prefill servers alone', 4, { load: 1, waiting: 0, admission: 9 }, 1, false],
  [
    'one beyond the share here, while the fleet has room beside what is lent',
    4,
    { load: 3, waiting: 0, fleet: 0 },
    1,
    false,
  ],
  ['one beyond the share here that the fleet has no room for', 4, { load: 3, waiting: 0, fleet: 1 }, 1, true],
  ['many that came at once, of which the fleet has not heard', 4, { load: 3, waiting: 9, fleet: 0 }, 1, true],
  ['one too heavy for what is left', 4, { load: 1, waiting: 0 }, 3, true],
  ['one that would wait, where nothing is lent', 0, { load: 9, waiting: 9 }, 1, false],
];

describe('The watch for live work', () => {
  for (const [name, lent, is, weight, called] of cases) {
    it(`${called ? 'calls back for' : 'lets be'} ${name}`, () => {
      const r = rig(lent);
      Object.assign(r.is, is);
      r.arrive(weight);
      expect(r.mails).to.deep.equal(called ? ['loan.recall e2', 'loan.recall e1'] : []);
      expect(r.told).to.deep.equal(called ? ['decode m1'] : []);
    });
  }
  it('calls back for what was read since, once that is more than the loan leaves', () => {
    const r = rig(4);
    r.is.load = 2;
    r.handed();
    expect(r.told).to.deep.equal([]);
    r.is.waiting = 1;
    r.handed();
    expect(r.told).to.deep.equal(['decode m1']);
  });
  it('does not say it again at once', () => {
    const r = rig(4);
    r.is.load = 5;
    r.arrive();
    r.arrive();
    expect(r.mails.length).to.equal(2);
    r.wait(250);
    r.arrive();
    expect(r.mails.length).to.equal(4);
  });
});
