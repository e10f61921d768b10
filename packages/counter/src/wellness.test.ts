import { expect } from 'chai';
import { Wellness } from './wellness.js';

type Seen = Parameters<typeof Wellness.wrong>[0];
const member = (id: string) => ({ id, born: 'b', addr: '10.0.0.1:1' });
const row = (server: string, part: 'prefill' | 'decode', stage: 'serving' | 'dark' = 'serving') => ({
  server,
  born: 'b',
  part,
  stage,
  by: 'e1',
});
const well: Seen = {
  version: 4,
  view: { epoch: 1, voters: ['c1', 'c2'].map(member), chain: ['c1', 'c2'].map(member) },
  daemons: [{ id: 'e1', role: 'counter', reached: true, sure: true, version: 4 }],
  rows: [row('m1', 'prefill'), row('m2', 'decode')],
  charter: {
    sites: ['s'],
    rules: [],
    servers: ['m1', 'm2'].map((id) => ({ id, site: 's', part: 'either' as const, slots: 1 })),
    casting: { prefill: 1, floor: { prefill: 1, decode: 1 }, swing: false, calm: 1000 },
  },
  listed: ['m1', 'm2'].map((id) => ({ id, born: 'b' })),
};
const one = well.daemons[0]!;

describe('Whether the fleet is well', () => {
  const cases: [string, Partial<Seen>, string[]][] = [
    ['a whole fleet', {}, []],
    ['no core', { version: null }, ['the core does not reply: no charter, claim or order can change']],
    ['a short chain', { view: { ...well.view!, chain: [member('c1')] } }, ['core c2 is out of the chain']],
    ['a daemon gone', { daemons: [{ ...one, reached: false }] }, ['e1 can not be reached']],
    ['one that asks', { daemons: [{ ...one, sure: false }] }, ['e1 can not tell its charter yet, and lets nothing in']],
    [
      'a core alone',
      { daemons: [{ ...one, id: 'c1', role: 'registry', sure: false }] },
      ['c1 has no claim on the chain, and says nothing'],
    ],
    ['one behind', { daemons: [{ ...one, version: 3 }] }, ['e1 holds charter 3, not 4']],
    ['no charter', { charter: null }, ['there is no charter: plan and confirm one']],
    ['no list', { listed: null }, ["the platform's list is away or old: requests are bounced"]],
    ['a server gone', { listed: [{ id: 'm1', born: 'b' }] }, ['server m2 is not listed as serving']],
    [
      'a new life without a row',
      { listed: well.listed!.map((l) => ({ ...l, born: l.id === 'm1' ? 'c' : 'b' })) },
      ['server m1 has not been ordered yet in its present life'],
    ],
    [
      'a dark server, below the floor',
      { rows: [row('m1', 'prefill'), row('m2', 'decode', 'dark')] },
      ['0 servers decode, fewer than the floor of 1', 'server m2 is dark'],
    ],
  ];
  for (const [name, change, want] of cases) {
    it(`tells ${name}`, () => {
      expect(Wellness.wrong({ ...well, ...change })).to.deep.equal(want);
    });
  }
});
