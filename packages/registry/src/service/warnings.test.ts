import type { Charter } from '@pumicebarrow/forms';
import { expect } from 'chai';
import { Warnings } from './warnings.js';

const server = (id: string, part: 'prefill' | 'decode' | 'either' = 'either', slots = 8) => ({
  ...{ id, site: 's', part, slots },
});
const rule = (name: string, limit: number) => ({
  ...{ name, limit, weight: 1, urgency: 1, waitlist: 1, deadline: 1000, pieces: 1, bytes: 1000 },
});
const was: Charter = {
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

describe('Warnings', () => {
  const cases: [string, Partial<Charter>, string[]][] = [
    ['nothing of a charter that is the same', {}, []],
    ['nothing of a server that is added', { servers: [...was.servers, server('m4')] }, []],
    ['nothing of a dark server that goes', { servers: [server('m1'), server('m2')] }, []],
    [
      'capacity that goes',
      { servers: was.servers.map((s) => ({ ...s, slots: 1 })) },
      ["it takes away 88% of the fleet's slots (24 to 3)"],
    ],
    [
      'a server in use that goes',
      { servers: [server('m1'), server('m3')] },
      ['server m2 is in use, and no request will go to it any more'],
    ],
    [
      'a server in use that is renamed',
      { servers: [server('m1'), server('m9'), server('m3')] },
      [
        'server m2 is in use, and no request will go to it any more',
        'm2 seems to be renamed to m9: the platform must list it under that name',
      ],
    ],
    ['a rule that goes', { rules: [rule('review', 10)] }, ['requests of the rule verdict will be bounced: it goes']],
    [
      'a rule that shrinks',
      { rules: [rule('review', 1), rule('verdict', 10)] },
      ['the rule review lets in 90% fewer requests at once'],
    ],
    [
      'a server that must swap',
      { servers: [server('m1', 'decode'), server('m2', 'decode'), server('m3')] },
      ['server m1 is to prefill now, and will be emptied to decode'],
    ],
  ];
  for (const [name, change, want] of cases) {
    it(`tells ${name}`, () => {
      expect(Warnings.of(was, { ...was, ...change }, rows)).to.deep.equal(want);
    });
  }
  const loans = (most: number, keep: number): Partial<Charter> => ({
    lending: { rules: ['review'], most: { prefill: 0, decode: most }, keep: { prefill: 0, decode: keep }, length: 900 },
  });
  const lending: [string, Partial<Charter>, Partial<Charter>, string[]][] = [
    ['lending that begins', {}, loans(0.5, 4), ['up to 50% of the slots that decode may be lent to bursts']],
    ['lending that stays', loans(0.5, 4), loans(0.5, 4), []],
    ['less kept', loans(0.5, 4), loans(0.4, 1), ['only 1 slots that decode are kept for live work (4 before)']],
    ['lending that ends', loans(0.5, 4), {}, ['bursts of the rule review borrow no more, and come to rest']],
  ];
  for (const [name, before, after, want] of lending) {
    it(`tells ${name}`, () => {
      expect(Warnings.of({ ...was, ...before }, { ...was, ...after }, rows)).to.deep.equal(want);
    });
  }
  it('tells nothing of a first charter', () => {
    expect(Warnings.of(null, was, [])).to.deep.equal([]);
  });
});
