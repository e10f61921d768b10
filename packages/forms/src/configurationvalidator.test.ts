import { expect } from 'chai';
import { ConfigurationValidator } from './configurationvalidator.js';

const validConfiguration = () => ({
  sites: ['s1', 's2'],
  rules: [{ name: 'verdict', weight: 1, urgency: 9, limit: 5, waitlist: 5, deadline: 2000, pieces: 2, bytes: 1000 }],
  fallback: 'verdict',
  servers: [
    { id: 'm1', site: 's1', part: 'either', slots: 4 },
    { id: 'm2', site: 's2', part: 'decode', slots: 4 },
  ],
  casting: { prefill: 1, floor: { prefill: 1, decode: 1 }, swing: true, calm: 5000 },
});
type Draft = ReturnType<typeof validConfiguration> & Record<string, unknown>;
const cases: [string, (c: Draft) => void, string[]][] = [
  ['a valid configuration', () => undefined, []],
  [
    'an unknown key',
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
    'a server in an unknown zone',
    (c) => {
      c.servers[1]!.site = 's9';
    },
    ['/servers/1/site'],
  ],
  [
    'a route in an unknown zone',
    (c) => {
      (c.rules[0] as Record<string, unknown>)['sites'] = ['s1', 's9'];
    },
    ['/rules/0/sites/1'],
  ],
  [
    'a fallback that is not a route',
    (c) => {
      c.fallback = 'none';
    },
    ['/fallback'],
  ],
  [
    'two servers with the same id',
    (c) => {
      c.servers[1]!.id = 'm1';
    },
    ['/servers/1/id'],
  ],
  [
    'a stage that no server can run',
    (c) => {
      c.servers[0]!.part = 'decode';
    },
    ['/casting/floor/prefill'],
  ],
  [
    'an initial assignment that leaves decode below its floor',
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

describe('ConfigurationValidator, for a fleet', () => {
  for (const [name, change, paths] of cases) {
    it(`reports the paths of the faults in ${name}`, () => {
      const c = validConfiguration() as Draft;
      change(c);
      const parsed = ConfigurationValidator.parse(c);
      expect(parsed.ok ? [] : parsed.val.map((f) => f.path)).to.deep.equal(paths);
    });
  }
});
