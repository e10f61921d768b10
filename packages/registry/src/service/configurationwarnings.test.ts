import type { FleetConfiguration } from '@pumicebarrow/forms';
import { expect } from 'chai';
import { ConfigurationWarnings } from './configurationwarnings.js';

const server = (id: string, part: 'prefill' | 'decode' | 'either' = 'either', slots = 8) => ({
  ...{ id, site: 's', part, slots },
});
const rule = (name: string, limit: number) => ({
  ...{ name, limit, weight: 1, urgency: 1, waitlist: 1, deadline: 1000, pieces: 1, bytes: 1000 },
});
const current: FleetConfiguration = {
  sites: ['s'],
  rules: [rule('review', 10), rule('verdict', 10)],
  servers: ['m1', 'm2', 'm3'].map((id) => server(id)),
  casting: { prefill: 1, floor: { prefill: 1, decode: 1 }, swing: true, calm: 1000 },
};
const rows = [
  { server: 'm1', part: 'prefill', stage: 'serving' },
  { server: 'm2', part: 'decode', stage: 'serving' },
  { server: 'm3', part: 'decode', stage: 'dark' },
];

describe('ConfigurationWarnings', () => {
  const cases: [string, Partial<FleetConfiguration>, string[]][] = [
    ['nothing about an unchanged configuration', {}, []],
    ['nothing about an added server', { servers: [...current.servers, server('m4')] }, []],
    ['nothing about the removal of a server out of service', { servers: [server('m1'), server('m2')] }, []],
    [
      'reduced capacity',
      { servers: current.servers.map((s) => ({ ...s, slots: 1 })) },
      ["it takes away 88% of the fleet's slots (24 to 3)"],
    ],
    [
      'the removal of a server in use',
      { servers: [server('m1'), server('m3')] },
      ['server m2 is in use, and no request will go to it any more'],
    ],
    [
      'the renaming of a server in use',
      { servers: [server('m1'), server('m9'), server('m3')] },
      [
        'server m2 is in use, and no request will go to it any more',
        'm2 seems to be renamed to m9: the platform must list it under that name',
      ],
    ],
    [
      'the removal of a rule',
      { rules: [rule('review', 10)] },
      ['requests of the rule verdict will be bounced: it goes'],
    ],
    [
      'a large reduction of a rule limit',
      { rules: [rule('review', 1), rule('verdict', 10)] },
      ['the rule review lets in 90% fewer requests at once'],
    ],
    [
      'a server that changes stage',
      { servers: [server('m1', 'decode'), server('m2', 'decode'), server('m3')] },
      ['server m1 is to prefill now, and will be emptied to decode'],
    ],
  ];
  for (const [name, change, expected] of cases) {
    it(`reports ${name}`, () => {
      expect(ConfigurationWarnings.of(current, { ...current, ...change }, rows)).to.deep.equal(expected);
    });
  }
  const lendingTerms = (most: number, keep: number): Partial<FleetConfiguration> => ({
    lending: { rules: ['review'], most: { prefill: 0, decode: most }, keep: { prefill: 0, decode: keep }, length: 900 },
  });
  const lending: [string, Partial<FleetConfiguration>, Partial<FleetConfiguration>, string[]][] = [
    ['newly lent capacity', {}, lendingTerms(0.5, 4), ['up to 50% of the slots that decode may be lent to bursts']],
    ['no unchanged lending', lendingTerms(0.5, 4), lendingTerms(0.5, 4), []],
    [
      'less reserved capacity',
      lendingTerms(0.5, 4),
      lendingTerms(0.4, 1),
      ['only 1 slots that decode are kept for live work (4 before)'],
    ],
    ['the end of lending', lendingTerms(0.5, 4), {}, ['bursts of the rule review borrow no more, and come to rest']],
  ];
  for (const [name, before, after, want] of lending) {
    it(`reports ${name}`, () => {
      expect(ConfigurationWarnings.of({ ...current, ...before }, { ...current, ...after }, rows)).to.deep.equal(want);
    });
  }
  it('reports nothing about a first configuration', () => {
    expect(ConfigurationWarnings.of(null, current, [])).to.deep.equal([]);
  });
});
