import type { Charter, Routing } from '@pumicebarrow/forms';
import { expect } from 'chai';
import { Apply } from './apply.js';
import type { Command } from '../chain/command.js';

const routing = (revision: number): Routing => ({
  revision,
  routes: [],
  services: [],
  limits: { header: 1, body: 1, headerWait: 1, idle: 1 },
  source: { revision },
});
const put = (id: string, base: number, revision: number): Command => ({
  ...{ do: 'replace' as const, id, base, intent: routing(revision) },
});
const plan = (id: string, base: number, charter: Charter | Routing): Command => ({ do: 'plan', id, base, charter });
const confirm = (id: string): Command => ({ do: 'confirm', id });
const charter = {} as Charter;
/** What each command of a list is told: its code, with the version if there is one. */
const told = (list: readonly Command[], from = Apply.empty) => {
  let state = from;
  const out = list.map((c) => {
    const done = Apply.one(state, c);
    state = done.state;
    const { verdict, version } = done.ruling;
    return [verdict.ran, verdict.code, ...(version === undefined ? [] : [version])].join(' ');
  });
  return { state, out };
};
const cases: [string, Command[], string[], number][] = [
  ['a first replacement', [put('a', 0, 1)], ['yes confirmed 1'], 1],
  ['one after the other', [put('a', 0, 1), put('b', 1, 2)], ['yes confirmed 1', 'yes confirmed 2'], 2],
  ['a first revision above 1', [put('a', 0, 7), put('b', 7, 9)], ['yes confirmed 1', 'yes confirmed 2'], 9],
  ['two over one base', [put('a', 0, 1), put('b', 0, 2)], ['yes confirmed 1', 'no lost'], 1],
  [
    'a repeat, at once and late',
    [put('a', 0, 1), put('a', 0, 1), put('b', 1, 2), put('a', 0, 1)],
    ['yes confirmed 1', 'yes confirmed 1', 'yes confirmed 2', 'yes confirmed 1'],
    2,
  ],
  [
    'a repeat of one that lost',
    [put('a', 0, 1), put('b', 0, 2), put('b', 0, 2)].concat(put('c', 1, 2)),
    [...['yes confirmed 1', 'no lost', 'no lost', 'yes confirmed 2']],
    2,
  ],
  ['a base not in force yet', [put('a', 3, 4)], ['no lost'], 0],
  [
    'a revision not above',
    [put('a', 0, 3), put('b', 3, 3), put('c', 3, 2)],
    [...['yes confirmed 1', 'no bad', 'no bad']],
    3,
  ],
  ['an old base with an old revision', [put('a', 0, 3), put('b', 0, 2)], ['yes confirmed 1', 'no lost'], 3],
  [
    'a replacement over a charter',
    [plan('p', 0, charter), confirm('p'), put('a', 0, 1)],
    ['yes planned', 'yes confirmed 1', 'yes confirmed 2'],
    1,
  ],
  [
    'a charter, or older routes, planned over routes',
    [put('a', 0, 5), plan('p', 1, charter), plan('q', 1, routing(5)), plan('r', 1, routing(6)), confirm('r')],
    ['yes confirmed 1', 'no bad', 'no bad', 'yes planned', 'yes confirmed 2'],
    6,
  ],
  [
    'a plan that a replacement overtook',
    [plan('p', 0, charter), put('a', 0, 1), confirm('p')],
    ['yes planned', 'yes confirmed 1', 'no lost'],
    1,
  ],
  ['the name of an open plan', [plan('p', 0, charter), put('p', 0, 1)], ['yes planned', 'no taken'], 0],
];

describe('Apply, of replacements', () => {
  for (const [name, list, want, revision] of cases) {
    it(`rules on ${name}`, () => {
      const { state, out } = told(list);
      expect(out).to.deep.equal(want);
      expect((state.charter?.body as Routing | undefined)?.revision ?? 0).to.equal(revision);
    });
  }
  it('names the path of a revision that is not above', () => {
    const { state } = told([put('a', 0, 3)]);
    const { verdict } = Apply.one(state, put('b', 3, 3)).ruling;
    expect(verdict.faults?.map((f) => f.path)).to.deep.equal(['/revision']);
  });
  it('keeps nothing of what did not win, and of what won only that it did', () => {
    const { state } = told([put('a', 0, 1)]);
    for (const c of [put('a', 0, 1), put('b', 0, 2), put('c', 1, 1)]) expect(Apply.one(state, c).state).to.equal(state);
    expect(state.plans).to.deep.equal([{ id: 'a', base: 0, fate: 'won', version: 1, over: 0 }]);
  });
  it('says of one that may have won and is forgotten that it may have', () => {
    const { state } = told(Array.from({ length: 300 }, (_, i) => put(`p${i}`, i, i + 1)));
    const late = [put('p0', 0, 1), put('x', 0, 1), put('p250', 250, 251), put('x', 250, 251), put('x', 400, 401)];
    expect(told(late, state).out).to.deep.equal([
      ...['maybe forgotten', 'maybe forgotten', 'yes confirmed 251', 'no lost', 'no lost'],
    ]);
  });
});
