import { expect } from 'chai';
import { Clauses } from './clauses.js';

const rule = (name: string, urgency: number, pieces = 8) => ({
  ...{ name, urgency, pieces, weight: 1, limit: 5, waitlist: 5, deadline: 2000, bytes: 1000 },
});
const good = () => ({
  sites: ['s1'],
  rules: [rule('verdict', 9), rule('review', 2), rule('rollout', 0)],
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
type Draft = ReturnType<typeof good>;
const cases: [string, (c: Draft) => void, string[]][] = [
  ['a sound clause', () => undefined, []],
  ['a rule not known', (c) => c.lending.rules.push('other'), ['/lending/rules/1']],
  ['a rule named twice', (c) => c.lending.rules.push('rollout'), ['/lending/rules/1']],
  ['the fallback', (c) => (c.fallback = 'rollout'), ['/lending/rules/0']],
  ['a rule as urgent as live work', (c) => (c.rules[2]!.urgency = 2), ['/lending/rules/0']],
  ['a rule with long answers', (c) => (c.rules[2]!.pieces = 257), ['/lending/rules/0']],
  ['no rule left for live work', (c) => (c.rules = [c.rules[2]!]), ['/fallback', '/lending/rules']],
  ['more kept than there is', (c) => (c.lending.keep.decode = 9), ['/lending/keep/decode']],
  ['a loan longer than the quiet time', (c) => (c.lending.length = 2501), ['/lending/length']],
  ['a share above all', (c) => (c.lending.most.prefill = 1.1), ['/lending/most/prefill']],
];

describe('The clause of lending', () => {
  for (const [name, change, paths] of cases) {
    it(`has its faults named: ${name}`, () => {
      const c = good();
      change(c);
      const got = Clauses.read(c);
      expect(got.ok ? [] : got.val.map((f) => f.path)).to.deep.equal(paths);
    });
  }
});
