import { Ok, type Ident, type Messenger } from '@pumicebarrow/forms';
import type { Loan } from '@pumicebarrow/registry';
import { expect } from 'chai';
import { LiveDemandMonitor } from './livedemandmonitor.js';

const daemon = (id: string): Ident => ({ id, born: 'b', addr: id, site: 's', role: 'counter' });
/** Two daemons, one decode server of 8 slots: the share of each is 6, or 3 while 4 slots are lent. */
const setup = (lentSlots: number) => {
  let now = 0;
  const state = { load: 0, waiting: 0, admission: 0, fleet: 8 };
  const messages: string[] = [],
    recalls: string[] = [];
  const loan: Loan = {
    ...{
      server: 'm1',
      born: 'x',
      part: 'decode',
      slots: lentSlots,
      holder: 'e2',
      burst: 'a',
      why: 'lent',
      by: 'e1',
      since: 0,
    },
  };
  const monitor = LiveDemandMonitor.make({
    clock: { mono: () => now } as never,
    post: {
      ask: (addr: string, _id: string, kind: string) => {
        messages.push(`${kind} ${addr}`);
        return Promise.resolve(Ok({ ok: true, running: 0 }));
      },
    } as unknown as Messenger,
    choice: { usable: (part: string) => (part === 'decode' ? [{ id: 'm1' }] : []) } as never,
    loads: { weightAt: (id: string) => (id === 'm1' ? state.load : 0) } as never,
    loans: () => [loan],
    slots: () => 8,
    waiting: (part) => (part === 'decode' ? state.waiting : state.admission),
    load: () => ({ read: state.fleet, write: state.fleet }),
    roster: () => [daemon('e1'), daemon('e2')],
    lender: () => daemon('e1'),
    onRecall: (part, servers) => void recalls.push(`${part} ${servers.join()}`),
  });
  return {
    ...{ state, messages, recalls },
    arrive: (weight = 1): void => monitor.onArrival({ weight } as never),
    finishPrefill: (): void => monitor.onPrefillDone({ weight: 1 } as never),
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
  ['the first live request of an idle daemon, whatever its weight', 4, { load: 0, waiting: 0 }, 9, false],
  ['a request that has room beside the loans', 4, { load: 2, waiting: 0 }, 1, false],
  ['a request that would wait', 4, { load: 3, waiting: 0 }, 1, true],
  ['a request that would wait behind others', 4, { load: 2, waiting: 1 }, 1, true],
  ['a request behind others that wait only for prefill servers', 4, { load: 1, waiting: 0, admission: 9 }, 1, false],
  [
    "a request beyond this daemon's share, while the fleet has room beside the loans",
    4,
    { load: 3, waiting: 0, fleet: 0 },
    1,
    false,
  ],
  [
    "a request beyond this daemon's share for which the fleet has no room",
    4,
    { load: 3, waiting: 0, fleet: 1 },
    1,
    true,
  ],
  [
    'many requests that arrived at once and are not in the reported fleet load yet',
    4,
    { load: 3, waiting: 9, fleet: 0 },
    1,
    true,
  ],
  ['a request whose weight exceeds what is left', 4, { load: 1, waiting: 0 }, 3, true],
  ['a request that would wait while nothing is lent', 0, { load: 9, waiting: 9 }, 1, false],
];

describe('LiveDemandMonitor', () => {
  for (const [name, lentSlots, state, weight, recalls] of cases) {
    it(`${recalls ? 'recalls' : 'does not recall'} for ${name}`, () => {
      const s = setup(lentSlots);
      Object.assign(s.state, state);
      s.arrive(weight);
      expect(s.messages).to.deep.equal(recalls ? ['loan.recall e2', 'loan.recall e1'] : []);
      expect(s.recalls).to.deep.equal(recalls ? ['decode m1'] : []);
    });
  }
  it('recalls for requests that have since finished prefill, once they exceed what the loan leaves', () => {
    const s = setup(4);
    s.state.load = 2;
    s.finishPrefill();
    expect(s.recalls).to.deep.equal([]);
    s.state.waiting = 1;
    s.finishPrefill();
    expect(s.recalls).to.deep.equal(['decode m1']);
  });
  it('does not repeat a recall at once', () => {
    const s = setup(4);
    s.state.load = 5;
    s.arrive();
    s.arrive();
    expect(s.messages.length).to.equal(2);
    s.wait(250);
    s.arrive();
    expect(s.messages.length).to.equal(4);
  });
});
