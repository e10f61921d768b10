import { Err, Ok } from '@pumicebarrow/forms';
import { expect } from 'chai';
import type { CoreStore } from '../state/corestore.js';
import type { View } from './view.js';
import { Voter } from './voter.js';

const view = (epoch: number, chainLength = 3): View => {
  const members = Array.from({ length: 3 }, (_, i) => ({ id: `c${i}`, born: 'b', addr: `10.0.0.${i}:1` }));
  return { epoch, voters: members, chain: members.slice(0, chainLength) };
};
let now = 0,
  diskFails = false;
const saved: unknown[] = [];
const store = {
  put: (_kind: string, value: unknown) => {
    if (!diskFails) saved.push(value);
    return Promise.resolve(diskFails ? Err('full') : Ok(undefined));
  },
} as unknown as CoreStore;
type Step =
  | ['moved', number]
  | ['prepare', number, number, boolean]
  | ['accept', number, number, boolean]
  | ['grant', number, boolean]
  | ['wait', number]
  | ['sick', boolean];
const cases: [string, Step[]][] = [
  [
    'promises only rising ballots',
    [
      ['prepare', 2, 8, true],
      ['prepare', 2, 8, false],
      ['prepare', 2, 7, false],
      ['prepare', 2, 16, true],
    ],
  ],
  [
    'does not accept a ballot lower than the promised one',
    [
      ['prepare', 2, 16, true],
      ['accept', 2, 8, false],
      ['accept', 2, 16, true],
    ],
  ],
  [
    'does not promise the next view while a lease is live',
    [
      ['grant', 1, true],
      ['prepare', 2, 8, false],
      ['wait', 801],
      ['prepare', 2, 8, true],
    ],
  ],
  [
    'grants no lease once the next view is promised',
    [
      ['prepare', 2, 8, true],
      ['wait', 5000],
      ['grant', 1, false],
    ],
  ],
  [
    'grants no lease for a limited time after a refused prepare',
    [
      ['grant', 1, true],
      ['prepare', 2, 8, false],
      ['grant', 1, false],
      ['wait', 1501],
      ['grant', 1, true],
    ],
  ],
  [
    'refuses prepare and accept for an epoch lower than one promised',
    [
      ['prepare', 3, 8, true],
      ['prepare', 2, 16, false],
      ['accept', 2, 16, false],
    ],
  ],
  [
    'grants no lease on a view once a later epoch is promised',
    [
      ['prepare', 3, 8, true],
      ['wait', 5000],
      ['grant', 1, false],
      ['grant', 2, false],
      ['grant', 3, true],
    ],
  ],
  [
    'still grants leases after a late prepare for the view in force',
    [
      ['prepare', 2, 8, true],
      ['accept', 2, 8, true],
      ['moved', 2],
      ['prepare', 2, 16, false],
      ['grant', 2, true],
    ],
  ],
  [
    'agrees to nothing that could not be written to disk',
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
      diskFails = false;
      const voter = Voter.make(store, () => now, null);
      for (const step of steps) {
        if (step[0] === 'wait') now += step[1];
        else if (step[0] === 'moved') voter.onViewChange(step[1]);
        else if (step[0] === 'sick') diskFails = step[1];
        else if (step[0] === 'grant') expect(voter.grantLease(step[1], 800)).to.equal(step[2]);
        else if (step[0] === 'prepare') expect((await voter.prepare(step[1], step[2])).ok).to.equal(step[3]);
        else expect((await voter.accept(step[1], step[2], view(step[1]))).ok).to.equal(step[3]);
      }
    });
  }
  it('reports the accepted view to a later ballot, also after a restart', async () => {
    now = 0;
    diskFails = false;
    saved.length = 0;
    const voter = Voter.make(store, () => now, null);
    await voter.prepare(2, 8);
    await voter.accept(2, 8, view(2, 2));
    const restarted = Voter.make(store, () => now, saved.at(-1) as never);
    expect((await restarted.prepare(2, 16)).took?.view).to.deep.equal(view(2, 2));
  });
  it('promises no view after a restart while leases from its earlier run may be live', async () => {
    now = 0;
    diskFails = false;
    const again = Voter.make(store, () => now, null, 800);
    expect((await again.prepare(2, 8)).wait).to.equal(800);
    expect((await again.accept(2, 8, view(2))).ok).to.equal(false);
    now = 801;
    expect((await again.prepare(2, 8)).ok).to.equal(true);
  });
  it('promises and accepts no next view before the present one is on disk', async () => {
    now = 0;
    diskFails = false;
    let settled = false;
    const voter = Voter.make(
      store,
      () => now,
      null,
      0,
      () => Promise.resolve(settled),
    );
    voter.onViewChange(2);
    expect((await voter.prepare(3, 8)).ok).to.equal(false);
    expect((await voter.accept(3, 8, view(3))).ok).to.equal(false);
    expect(voter.grantLease(2, 800)).to.equal(true);
    now = 801;
    settled = true;
    expect((await voter.prepare(3, 8)).ok).to.equal(true);
    expect((await voter.accept(3, 8, view(3))).ok).to.equal(true);
  });
});
