import { expect } from 'chai';
import { FleetHealth } from './fleethealth.js';

type Snapshot = Parameters<typeof FleetHealth.problems>[0];
const member = (id: string) => ({ id, born: 'b', addr: '10.0.0.1:1' });
const row = (server: string, part: 'prefill' | 'decode', stage: 'serving' | 'dark' = 'serving') => ({
  server,
  born: 'b',
  part,
  stage,
  by: 'e1',
});
const healthy: Snapshot = {
  version: 4,
  view: { epoch: 1, voters: ['c1', 'c2'].map(member), chain: ['c1', 'c2'].map(member) },
  daemons: [{ id: 'e1', role: 'counter', reached: true, sure: true, version: 4 }],
  rows: [row('m1', 'prefill'), row('m2', 'decode')],
  configuration: {
    sites: ['s'],
    rules: [],
    servers: ['m1', 'm2'].map((id) => ({ id, site: 's', part: 'either' as const, slots: 1 })),
    casting: { prefill: 1, floor: { prefill: 1, decode: 1 }, swing: false, calm: 1000 },
  },
  listed: ['m1', 'm2'].map((id) => ({ id, born: 'b' })),
};
const daemon = healthy.daemons[0]!;

describe('FleetHealth', () => {
  const cases: [string, Partial<Snapshot>, string[]][] = [
    ['no problem of a healthy fleet', {}, []],
    ['an unreachable core', { version: null }, ['the core does not reply: no charter, claim or order can change']],
    [
      'a control replica outside the chain',
      { view: { ...healthy.view!, chain: [member('c1')] } },
      ['core c2 is out of the chain'],
    ],
    ['an unreachable daemon', { daemons: [{ ...daemon, reached: false }] }, ['e1 can not be reached']],
    [
      'a daemon that is not sure of its configuration',
      { daemons: [{ ...daemon, sure: false }] },
      ['e1 can not tell its charter yet, and lets nothing in'],
    ],
    [
      'a control replica without a lease',
      { daemons: [{ ...daemon, id: 'c1', role: 'registry', sure: false }] },
      ['c1 has no claim on the chain, and says nothing'],
    ],
    ['a daemon with an older configuration', { daemons: [{ ...daemon, version: 3 }] }, ['e1 holds charter 3, not 4']],
    ['a missing configuration', { configuration: null }, ['there is no charter: plan and confirm one']],
    ['a missing list of servers', { listed: null }, ["the platform's list is away or old: requests are bounced"]],
    ['a server that is not listed', { listed: [{ id: 'm1', born: 'b' }] }, ['server m2 is not listed as serving']],
    [
      'a restarted server without an assignment',
      { listed: healthy.listed!.map((l) => ({ ...l, born: l.id === 'm1' ? 'c' : 'b' })) },
      ['server m1 has not been ordered yet in its present life'],
    ],
    [
      'a dark server that leaves its stage below the floor',
      { rows: [row('m1', 'prefill'), row('m2', 'decode', 'dark')] },
      ['0 servers decode, fewer than the floor of 1', 'server m2 is dark'],
    ],
  ];
  for (const [name, change, expected] of cases) {
    it(`reports ${name}`, () => {
      expect(FleetHealth.problems({ ...healthy, ...change })).to.deep.equal(expected);
    });
  }
});
