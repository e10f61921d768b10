import type { FleetConfiguration } from '@pumicebarrow/forms';
import { expect } from 'chai';
import { CoreStateMachine } from './corestatemachine.js';
import type { Command } from '../chain/command.js';
import { ConfigurationDiff } from '../service/configurationdiff.js';

const fleetConfiguration = (limit: number): FleetConfiguration => ({
  sites: ['s1'],
  rules: [{ name: 'verdict', weight: 1, urgency: 9, limit, waitlist: 5, deadline: 2000, pieces: 2, bytes: 1000 }],
  servers: [
    { id: 'm1', site: 's1', part: 'prefill', slots: 4 },
    { id: 'm2', site: 's1', part: 'decode', slots: 4 },
  ],
  casting: { prefill: 1, floor: { prefill: 1, decode: 1 }, swing: false, calm: 5000 },
});
const plan = (id: string, base: number): Command => ({ do: 'plan', id, base, charter: fleetConfiguration(base + 1) });
const confirm = (id: string): Command => ({ do: 'confirm', id });
const drop = (id: string): Command => ({ do: 'drop', id });
const lease = (id: string): Command => ({ do: 'claim', name: 'row:m1', id, born: 'b' });
const cases: [string, Command[], string[], number, string | null][] = [
  ['a plan and its confirmation', [plan('a', 0), confirm('a')], ['planned', 'confirmed'], 1, 'a'],
  [
    'a repeated confirmation',
    [plan('a', 0), confirm('a'), confirm('a')],
    ['planned', 'confirmed', 'confirmed'],
    1,
    'a',
  ],
  [
    'two plans based on one version',
    [plan('a', 0), plan('b', 0), confirm('a'), confirm('b'), confirm('b')],
    ['planned', 'planned', 'confirmed', 'lost', 'lost'],
    1,
    'a',
  ],
  [
    'a plan based on an old version',
    [plan('a', 0), confirm('a'), plan('b', 0)],
    ['planned', 'confirmed', 'stale'],
    1,
    'a',
  ],
  [
    'a dropped plan',
    [plan('a', 0), drop('a'), confirm('a'), drop('a')],
    ['planned', 'dropped', 'dropped', 'dropped'],
    0,
    null,
  ],
  ['a drop of a plan that has won', [plan('a', 0), confirm('a'), drop('a')], ['planned', 'confirmed', 'won'], 1, 'a'],
  ['a plan sent twice', [plan('a', 0), plan('a', 0)], ['planned', 'planned'], 0, null],
  ['commands on an unknown plan', [confirm('x'), drop('x')], ['unknown', 'unknown'], 0, null],
  ['leases', [lease('e1'), lease('e2')], ['claimed', 'claimed'], 0, null],
];

describe('CoreStateMachine', () => {
  for (const [name, commands, codes, version, planId] of cases) {
    it(`handles ${name}`, () => {
      let state = CoreStateMachine.emptyState;
      const actual = commands.map((c) => {
        const outcome = CoreStateMachine.apply(state, c);
        state = outcome.state;
        return outcome.ruling.verdict.code;
      });
      expect(actual).to.deep.equal(codes);
      expect([state.charter?.version ?? 0, state.charter?.plan ?? null]).to.deep.equal([version, planId]);
    });
  }
  it('raises the fence with each lease granted', () => {
    let state = CoreStateMachine.emptyState;
    const fences = ['e1', 'e2', 'e1'].map((id) => {
      const outcome = CoreStateMachine.apply(state, lease(id));
      state = outcome.state;
      return outcome.ruling.fence;
    });
    expect(fences).to.deep.equal([1, 2, 3]);
  });
  it('leaves the state unchanged for a refused command', () => {
    const state = CoreStateMachine.apply(CoreStateMachine.emptyState, plan('a', 0)).state;
    expect(CoreStateMachine.apply(state, plan('b', 3)).state).to.equal(state);
    expect(CoreStateMachine.apply(state, drop('x')).state).to.equal(state);
  });
});

const lending = { rules: ['x'], most: { prefill: 0, decode: 1 }, keep: { prefill: 1, decode: 1 }, length: 800 };

describe('ConfigurationDiff', () => {
  const diffCases: [string, FleetConfiguration | null, FleetConfiguration, string[]][] = [
    ['no change', fleetConfiguration(1), fleetConfiguration(1), []],
    ['a changed number', fleetConfiguration(1), fleetConfiguration(2), ['/rules/verdict/limit changes from 1 to 2.']],
    [
      'a new clause',
      fleetConfiguration(1),
      { ...fleetConfiguration(1), lending },
      [`/lending is new: ${JSON.stringify(lending)}.`],
    ],
    [
      'a changed number in a clause',
      { ...fleetConfiguration(1), lending },
      { ...fleetConfiguration(1), lending: { ...lending, length: 900 } },
      ['/lending/length changes from 800 to 900.'],
    ],
    ['a first configuration', null, fleetConfiguration(1), ['There is no charter yet; all of this is new.']],
  ];
  for (const [name, was, will, words] of diffCases)
    it(`describes ${name} in sentences`, () =>
      expect(ConfigurationDiff.of(was, will).map((c) => c.words)).to.deep.equal(words));
});
