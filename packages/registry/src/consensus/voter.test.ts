import { Err, Ok } from '@pumicebarrow/forms';
import { expect } from 'chai';
import type { Store } from '../state/store.js';
import type { View } from './view.js';
import { Voter } from './voter.js';

const view = (epoch: number, n = 3): View => {
  const m = Array.from({ length: 3 }, (_, i) => ({ id: `c${i}`, born: 'b', addr: `10.0.0.${i}:1` }));
  return { epoch, voters: m, chain: m.slice(0, n) };
};
let now = 0,
  sick = false;
const saved: unknown[] = [];
const store = {
  put: (_k: string, v: unknown) => {
    if (!sick) saved.push(v);
    return Promise.resolve(sick ? Err('full') : Ok(undefined));
  },
} as unknown as Store;
type Step =
  | ['moved', number]
  | ['prepare', number, number, boolean]
  | ['accept', number, number, boolean]
  | ['grant', number, boolean]
  | ['wait', number]
  | ['sick', boolean];
const cases: [string, Step[]][] = [
  [
    'promises rise',
    [
      ['prepare', 2, 8, true],
      ['prepare', 2, 8, false],
      ['prepare', 2, 7, false],
      ['prepare', 2, 16, true],
    ],
  ],
  [
    'an older ballot is not accepted',
    [
      ['prepare', 2, 16, true],
      ['accept', 2, 8, false],
      ['accept', 2, 16, true],
    ],
  ],
  [
    'a live lease holds the next view off',
    [
      ['grant', 1, true],
      ['prepare', 2, 8, false],
      ['wait', 801],
      ['prepare', 2, 8, true],
    ],
  ],
  [
    'no lease once the next view is promised',
    [
      ['prepare', 2, 8, true],
      ['wait', 5000],
      ['grant', 1, false],
    ],
  ],
  [
    'an attempt that waits holds leases off, for a while',
    [
      ['grant', 1, true],
      ['prepare', 2, 8, false],
      ['grant', 1, false],
      ['wait', 1501],
      ['grant', 1, true],
    ],
  ],
  [
    'an epoch that is past is past',
    [
      ['prepare', 3, 8, true],
      ['prepare', 2, 16, false],
      ['accept', 2, 16, false],
    ],
  ],
  [
    'no lease on a view once bound to any later one',
    [
      ['prepare', 3, 8, true],
      ['wait', 5000],
      ['grant', 1, false],
      ['grant', 2, false],
      ['grant', 3, true],
    ],
  ],
  [
    'a late try for a view already in force holds nothing off',
    [
      ['prepare', 2, 8, true],
      ['accept', 2, 8, true],
      ['moved', 2],
      ['prepare', 2, 16, false],
      ['grant', 2, true],
    ],
  ],
  [
    'what is not on disk is not said',
    [
      ['sick', true],
      ['prepare', 2, 8, false],
      ['sick', false],
      ['prepare', 2, 8, true],
      ['sick', true],
      ['accept', 2, 8, false],
    ],
  ],
];

describe('Voter', () => {
  for (const [name, steps] of cases) {
    it(name, async () => {
      now = 0;
      sick = false;
      const v = Voter.make(store, () => now, null);
      for (const s of steps) {
        if (s[0] === 'wait') now += s[1];
        else if (s[0] === 'moved') v.onViewChange(s[1]);
        else if (s[0] === 'sick') sick = s[1];
        else if (s[0] === 'grant') expect(v.grantLease(s[1], 800)).to.equal(s[2]);
        else if (s[0] === 'prepare') expect((await v.prepare(s[1], s[2])).ok).to.equal(s[3]);
        else expect((await v.accept(s[1], s[2], view(s[1]))).ok).to.equal(s[3]);
      }
    });
  }
  it('tells what it took to a later ballot, also after a restart', async () => {
    now = 0;
    sick = false;
    saved.length = 0;
    const v = Voter.make(store, () => now, null);
    await v.prepare(2, 8);
    await v.accept(2, 8, view(2, 2));
    const again = Voter.make(store, () => now, saved.at(-1) as never);
    expect((await again.prepare(2, 16)).took?.view).to.deep.equal(view(2, 2));
  });
  it('holds the next view off, after a restart, for as long as what it granted before may last', async () => {
    now = 0;
    sick = false;
    const again = Voter.make(store, () => now, null, 800);
    expect((await again.prepare(2, 8)).wait).to.equal(800);
    expect((await again.accept(2, 8, view(2))).ok).to.equal(false);
    now = 801;
    expect((await again.prepare(2, 8)).ok).to.equal(true);
  });
  it('binds itself to no next view before the present one is on disk', async () => {
    now = 0;
    sick = false;
    let settled = false;
    const v = Voter.make(
      store,
      () => now,
      null,
      0,
      () => Promise.resolve(settled),
    );
    v.onViewChange(2);
    expect((await v.prepare(3, 8)).ok).to.equal(false);
    expect((await v.accept(3, 8, view(3))).ok).to.equal(false);
    expect(v.grantLease(2, 800)).to.equal(true);
    now = 801;
    settled = true;
    expect((await v.prepare(3, 8)).ok).to.equal(true);
    expect((await v.accept(3, 8, view(3))).ok).to.equal(true);
  });
});
