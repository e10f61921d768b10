import type { Charter } from '@pumicebarrow/forms';
import type { SheetRow } from '@pumicebarrow/registry';
import { expect } from 'chai';
import { Spare } from './spare.js';

const rows: SheetRow[] = (['prefill', 'decode', 'decode', 'decode'] as const).map((part, i) => ({
  ...{ server: `m${i + 1}`, born: 'x', part, stage: i === 3 ? 'dark' : 'serving', by: 'e1' },
}));
const charter = (most: number, keep: number): Charter => ({
  sites: ['s'],
  rules: [],
  servers: [8, 4, 8, 8].map((slots, i) => ({ id: `m${i + 1}`, site: 's', part: 'either', slots })),
  casting: { prefill: 1, floor: { prefill: 1, decode: 1 }, swing: false, calm: 1000 },
  lending: { rules: ['r'], most: { prefill: most, decode: most }, keep: { prefill: keep, decode: keep }, length: 900 },
});
const cases: [string, Charter, { read: number; write: number }, number[]][] = [
  ['all of a share, by size, none of a dark server', charter(0.5, 0), { read: 0, write: 0 }, [4, 2, 4, 0]],
  ['what is left beside what is kept', charter(1, 3), { read: 0, write: 0 }, [5, 3, 6, 0]],
  ['what is left beside live work, part by part', charter(1, 0), { read: 8, write: 6 }, [0, 2, 4, 0]],
  ['nothing where live work takes more than all', charter(1, 0), { read: 99, write: 99 }, [0, 0, 0, 0]],
  ['nothing by a share of nothing', charter(0, 0), { read: 0, write: 0 }, [0, 0, 0, 0]],
  ['nothing without the clause', { ...charter(1, 0), lending: undefined }, { read: 0, write: 0 }, [0, 0, 0, 0]],
];

describe('What is spare', () => {
  for (const [name, c, load, want] of cases)
    it(`is ${name}`, () => expect(rows.map((r) => Spare.slots(c, rows, load, r.server))).to.deep.equal(want));
  it('sums to no more than the share, whatever the load', () => {
    for (let write = 0; write <= 12; write++) {
      const sum = ['m2', 'm3'].reduce((n, s) => n + Spare.slots(charter(0.7, 1), rows, { read: 0, write }, s), 0);
      expect(sum).to.be.at.most(Math.max(0, Math.min(12 * 0.7, 11 - write)));
    }
  });
});
