import type { FleetConfiguration } from '@pumicebarrow/forms';
import type { StageAssignment } from '@pumicebarrow/registry';
import { expect } from 'chai';
import { SpareCapacity } from './sparecapacity.js';

const rows: StageAssignment[] = (['prefill', 'decode', 'decode', 'decode'] as const).map((part, i) => ({
  ...{ server: `m${i + 1}`, born: 'x', part, stage: i === 3 ? 'dark' : 'serving', by: 'e1' },
}));
const configuration = (fraction: number, reserve: number): FleetConfiguration => ({
  sites: ['s'],
  rules: [],
  servers: [8, 4, 8, 8].map((slots, i) => ({ id: `m${i + 1}`, site: 's', part: 'either', slots })),
  casting: { prefill: 1, floor: { prefill: 1, decode: 1 }, swing: false, calm: 1000 },
  lending: {
    rules: ['r'],
    most: { prefill: fraction, decode: fraction },
    keep: { prefill: reserve, decode: reserve },
    length: 900,
  },
});
const cases: [string, FleetConfiguration, { read: number; write: number }, number[]][] = [
  [
    'the configured fraction, by size, and nothing of a dark server',
    configuration(0.5, 0),
    { read: 0, write: 0 },
    [4, 2, 4, 0],
  ],
  ['what is left beside the reserve', configuration(1, 3), { read: 0, write: 0 }, [5, 3, 6, 0]],
  ['what is left beside live requests, for each stage', configuration(1, 0), { read: 8, write: 6 }, [0, 2, 4, 0]],
  ['nothing if live requests need more than all slots', configuration(1, 0), { read: 99, write: 99 }, [0, 0, 0, 0]],
  ['nothing if the configured fraction is zero', configuration(0, 0), { read: 0, write: 0 }, [0, 0, 0, 0]],
  [
    'nothing if lending is not configured',
    { ...configuration(1, 0), lending: undefined },
    { read: 0, write: 0 },
    [0, 0, 0, 0],
  ],
];

describe('SpareCapacity', () => {
  for (const [name, config, load, expected] of cases)
    it(`lends ${name}`, () =>
      expect(rows.map((r) => SpareCapacity.slots(config, rows, load, r.server))).to.deep.equal(expected));
  it('lends no more in sum than the configured fraction, whatever the load', () => {
    for (let write = 0; write <= 12; write++) {
      const sum = ['m2', 'm3'].reduce(
        (n, s) => n + SpareCapacity.slots(configuration(0.7, 1), rows, { read: 0, write }, s),
        0,
      );
      expect(sum).to.be.at.most(Math.max(0, Math.min(12 * 0.7, 11 - write)));
    }
  });
});
