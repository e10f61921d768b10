import { expect } from 'chai';
import { ConfigurationValidator } from './configurationvalidator.js';

const route = (name: string, urgency: number, pieces = 8) => ({
  ...{ name, urgency, pieces, weight: 1, limit: 5, waitlist: 5, deadline: 2000, bytes: 1000 },
});
const validConfiguration = () => ({
  sites: ['s1'],
  rules: [route('verdict', 9), route('review', 2), route('rollout', 0)],
  fallback: 'verdict',
  servers: ['m1', 'm2'].map((id) => ({ id, site: 's1', part: 'either', slots: 4 })),
  casting: { prefill: 1, floor: { prefill: 1, decode: 1 }, swing: true, calm: 5000 },
  lending: {
    rules: ['rollout'],
    most: { prefill: 0.5, decode: 0.5 },
    keep: { prefill: 1, decode: 8 },
    length: 2000,
  },
});
type Draft = ReturnType<typeof validConfiguration>;
const cases: [string, (c: Draft) => void, string[]][] = [
  ['a valid section', () => undefined, []],
  ['an unknown route', (c) => c.lending.rules.push('other'), ['/lending/rules/1']],
  ['a route named twice', (c) => c.lending.rules.push('rollout'), ['/lending/rules/1']],
  ['the fallback as a borrower', (c) => (c.fallback = 'rollout'), ['/lending/rules/0']],
  ['a borrower as urgent as live traffic', (c) => (c.rules[2]!.urgency = 2), ['/lending/rules/0']],
  ['a borrower with long answers', (c) => (c.rules[2]!.pieces = 257), ['/lending/rules/0']],
  ['no route left for live traffic', (c) => (c.rules = [c.rules[2]!]), ['/fallback', '/lending/rules']],
  ['a reserve of more slots than there are', (c) => (c.lending.keep.decode = 9), ['/lending/keep/decode']],
  ['a loan longer than the waiting period of a new holder', (c) => (c.lending.length = 2501), ['/lending/length']],
  ['a share above 1', (c) => (c.lending.most.prefill = 1.1), ['/lending/most/prefill']],
];

describe('LendingValidator', () => {
  for (const [name, change, paths] of cases) {
    it(`reports the paths of the faults in ${name}`, () => {
      const c = validConfiguration();
      change(c);
      const parsed = ConfigurationValidator.parse(c);
      expect(parsed.ok ? [] : parsed.val.map((f) => f.path)).to.deep.equal(paths);
    });
  }
});
