import type { FleetConfiguration, Routing } from '@pumicebarrow/forms';
import { expect } from 'chai';
import { CoreStateMachine } from './corestatemachine.js';
import type { Command } from '../chain/command.js';

const routing = (revision: number): Routing => ({
  revision,
  routes: [],
  services: [],
  limits: { header: 1, body: 1, headerWait: 1, idle: 1 },
  source: { revision },
});
const replacement = (id: string, base: number, revision: number): Command => ({
  ...{ do: 'replace' as const, id, base, intent: routing(revision) },
});
const plan = (id: string, base: number, configuration: FleetConfiguration | Routing): Command => ({
  do: 'plan',
  id,
  base,
  charter: configuration,
});
const confirm = (id: string): Command => ({ do: 'confirm', id });
const fleetConfiguration = {} as FleetConfiguration;
/** Applies the commands in order; returns for each its verdict, with the version if there is one. */
const applyAll = (commands: readonly Command[], initial = CoreStateMachine.emptyState) => {
  let state = initial;
  const results = commands.map((c) => {
    const outcome = CoreStateMachine.apply(state, c);
    state = outcome.state;
    const { verdict, version } = outcome.ruling;
    return [verdict.ran, verdict.code, ...(version === undefined ? [] : [version])].join(' ');
  });
  return { state, out: results };
};
const cases: [string, Command[], string[], number][] = [
  ['a first replacement', [replacement('a', 0, 1)], ['yes confirmed 1'], 1],
  [
    'consecutive replacements',
    [replacement('a', 0, 1), replacement('b', 1, 2)],
    ['yes confirmed 1', 'yes confirmed 2'],
    2,
  ],
  [
    'a first revision above 1',
    [replacement('a', 0, 7), replacement('b', 7, 9)],
    ['yes confirmed 1', 'yes confirmed 2'],
    9,
  ],
  [
    'two replacements of one revision',
    [replacement('a', 0, 1), replacement('b', 0, 2)],
    ['yes confirmed 1', 'no lost'],
    1,
  ],
  [
    'a repeated replacement, at once and later',
    [replacement('a', 0, 1), replacement('a', 0, 1), replacement('b', 1, 2), replacement('a', 0, 1)],
    ['yes confirmed 1', 'yes confirmed 1', 'yes confirmed 2', 'yes confirmed 1'],
    2,
  ],
  [
    'a repeat of a replacement that lost',
    [replacement('a', 0, 1), replacement('b', 0, 2), replacement('b', 0, 2)].concat(replacement('c', 1, 2)),
    [...['yes confirmed 1', 'no lost', 'no lost', 'yes confirmed 2']],
    2,
  ],
  ['a base revision that is not in force yet', [replacement('a', 3, 4)], ['no lost'], 0],
  [
    'a revision that does not rise',
    [replacement('a', 0, 3), replacement('b', 3, 3), replacement('c', 3, 2)],
    [...['yes confirmed 1', 'no bad', 'no bad']],
    3,
  ],
  [
    'an old base with an old revision',
    [replacement('a', 0, 3), replacement('b', 0, 2)],
    ['yes confirmed 1', 'no lost'],
    3,
  ],
  [
    'a routing that replaces a fleet configuration',
    [plan('p', 0, fleetConfiguration), confirm('p'), replacement('a', 0, 1)],
    ['yes planned', 'yes confirmed 1', 'yes confirmed 2'],
    1,
  ],
  [
    'a planned fleet configuration or older routing after a routing',
    [
      replacement('a', 0, 5),
      plan('p', 1, fleetConfiguration),
      plan('q', 1, routing(5)),
      plan('r', 1, routing(6)),
      confirm('r'),
    ],
    ['yes confirmed 1', 'no bad', 'no bad', 'yes planned', 'yes confirmed 2'],
    6,
  ],
  [
    'a plan overtaken by a replacement',
    [plan('p', 0, fleetConfiguration), replacement('a', 0, 1), confirm('p')],
    ['yes planned', 'yes confirmed 1', 'no lost'],
    1,
  ],
  [
    'the id of an open plan',
    [plan('p', 0, fleetConfiguration), replacement('p', 0, 1)],
    ['yes planned', 'no taken'],
    0,
  ],
];

describe('Replacements in CoreStateMachine', () => {
  for (const [name, list, expected, revision] of cases) {
    it(`handles ${name}`, () => {
      const { state, out } = applyAll(list);
      expect(out).to.deep.equal(expected);
      expect((state.charter?.body as Routing | undefined)?.revision ?? 0).to.equal(revision);
    });
  }
  it('names the path of a revision that does not rise', () => {
    const { state } = applyAll([replacement('a', 0, 3)]);
    const { verdict } = CoreStateMachine.apply(state, replacement('b', 3, 3)).ruling;
    expect(verdict.faults?.map((f) => f.path)).to.deep.equal(['/revision']);
  });
  it('stores nothing for a replacement that did not win, and no body for one that won', () => {
    const { state } = applyAll([replacement('a', 0, 1)]);
    for (const c of [replacement('a', 0, 1), replacement('b', 0, 2), replacement('c', 1, 1)])
      expect(CoreStateMachine.apply(state, c).state).to.equal(state);
    expect(state.plans).to.deep.equal([{ id: 'a', base: 0, fate: 'won', version: 1, over: 0 }]);
  });
  it('answers maybe for a dropped replacement that may have won', () => {
    const { state } = applyAll(Array.from({ length: 300 }, (_, i) => replacement(`p${i}`, i, i + 1)));
    const late = [
      replacement('p0', 0, 1),
      replacement('x', 0, 1),
      replacement('p250', 250, 251),
      replacement('x', 250, 251),
      replacement('x', 400, 401),
    ];
    expect(applyAll(late, state).out).to.deep.equal([
      ...['maybe forgotten', 'maybe forgotten', 'yes confirmed 251', 'no lost', 'no lost'],
    ]);
  });
});
