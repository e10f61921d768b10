import { expect } from 'chai';
import { Clauses } from './clauses.js';

const good = () => ({
  sites: ['s1', 's2'],
  rules: [{ name: 'verdict', weight: 1, urgency: 9, limit: 5, waitlist: 5, deadline: 2000, pieces: 2, bytes: 1000 }],
  fallback: 'verdict',
  servers: [
    { id: 'm1', site: 's1', part: 'either', slots: 4 },
    { id: 'm2', site: 's2', part: 'decode', slots: 4 },
  ],
  casting: { prefill: 1, floor: { prefill: 1, decode: 1 }, swing: true, calm: 5000 },
});
type Draft = ReturnType<typeof good> & Record<string, unknown>;
const cases: [string, (c: Draft) => void, string[]][] = [
  ['a sound charter', () => undefined, []],
  [
    'a key not known',
    (c) => {
      c['colour'] = 'red';
    },
    ['/colour'],
  ],
  [
    'a number below its bound',
    (c) => {
      c.rules[0]!.limit = 0;
    },
    ['/rules/0/limit'],
  ],
  [
    'an unknown zone at a server',
    (c) => {
      c.servers[1]!.site = 's9';
    },
    ['/servers/1/site'],
  ],
  [
    'an unknown zone in a rule',
    (c) => {
      (c.rules[0] as Record<string, unknown>)['sites'] = ['s1', 's9'];
    },
    ['/rules/0/sites/1'],
  ],
  [
    'an unknown rule as fallback',
    (c) => {
      c.fallback = 'none';
    },
    ['/fallback'],
  ],
  [
    'a server named twice',
    (c) => {
      c.servers[1]!.id = 'm1';
    },
    ['/servers/1/id'],
  ],
  [
    'a part left with no server',
    (c) => {
      c.servers[0]!.part = 'decode';
    },
    ['/casting/floor/prefill'],
  ],
  [
    'a cast that starves decode',
    (c) => {
      c.casting.prefill = 2;
    },
    ['/casting/prefill'],
  ],
  [
    'several faults at once',
    (c) => {
      c.servers[1]!.site = 's9';
      c.fallback = 'none';
    },
    ['/servers/1/site', '/fallback'],
  ],
];

describe('Clauses', () => {
  for (const [name, change, paths] of cases) {
    it(`names the faults of ${name}`, () => {
      const c = good() as Draft;
      change(c);
      const got = Clauses.read(c);
      expect(got.ok ? [] : got.val.map((f) => f.path)).to.deep.equal(paths);
    });
  }
});
