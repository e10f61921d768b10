import type { Charter } from '@pumicebarrow/forms';
import { expect } from 'chai';
import { Apply } from './apply.js';
import type { Command } from '../chain/command.js';
import { Diff } from '../service/diff.js';

const charter = (limit: number): Charter => ({
  sites: ['s1'],
  rules: [{ name: 'verdict', weight: 1, urgency: 9, limit, waitlist: 5, deadline: 2000, pieces: 2, bytes: 1000 }],
  servers: [
    { id: 'm1', site: 's1', part: 'prefill', slots: 4 },
    { id: 'm2', site: 's1', part: 'decode', slots: 4 },
  ],
  casting: { prefill: 1, floor: { prefill: 1, decode: 1 }, swing: false, calm: 5000 },
});
const plan = (id: string, base: number): Command => ({ do: 'plan', id, base, charter: charter(base + 1) });
const confirm = (id: string): Command => ({ do: 'confirm', id });
const drop = (id: string): Command => ({ do: 'drop', id });
const lease = (id: string): Command => ({ do: 'claim', name: 'row:m1', id, born: 'b' });
const cases: [string, Command[], string[], number, string | null][] = [
  ['plan and confirm', [plan('a', 0), confirm('a')], ['planned', 'confirmed'], 1, 'a'],
  [
    'two confirms of one plan',
    [plan('a', 0), confirm('a'), confirm('a')],
    ['planned', 'confirmed', 'confirmed'],
    1,
    'a',
  ],
  [
    'two plans against one base',
    [plan('a', 0), plan('b', 0), confirm('a'), confirm('b'), confirm('b')],
    ['planned', 'planned', 'confirmed', 'lost', 'lost'],
    1,
    'a',
  ],
  ['a plan against an old base', [plan('a', 0), confirm('a'), plan('b', 0)], ['planned', 'confirmed', 'stale'], 1, 'a'],
  [
    'a dropped plan',
    [plan('a', 0), drop('a'), confirm('a'), drop('a')],
    ['planned', 'dropped', 'dropped', 'dropped'],
    0,
    null,
  ],
  ['dropping what has won', [plan('a', 0), confirm('a'), drop('a')], ['planned', 'confirmed', 'won'], 1, 'a'],
  ['a plan sent twice', [plan('a', 0), plan('a', 0)], ['planned', 'planned'], 0, null],
  ['a plan nobody made', [confirm('x'), drop('x')], ['unknown', 'unknown'], 0, null],
  ['leases', [lease('e1'), lease('e2')], ['claimed', 'claimed'], 0, null],
];

describe('Apply', () => {
  for (const [name, list, codes, version, who] of cases) {
    it(`rules on ${name}`, () => {
      let s = Apply.empty;
      const got = list.map((c) => {
        const d = Apply.one(s, c);
        s = d.state;
        return d.ruling.verdict.code;
      });
      expect(got).to.deep.equal(codes);
      expect([s.charter?.version ?? 0, s.charter?.plan ?? null]).to.deep.equal([version, who]);
    });
  }
  it('raises the fence with each lease', () => {
    let s = Apply.empty;
    const fences = ['e1', 'e2', 'e1'].map((id) => {
      const d = Apply.one(s, lease(id));
      s = d.state;
      return d.ruling.fence;
    });
    expect(fences).to.deep.equal([1, 2, 3]);
  });
  it('writes nothing for what it refuses', () => {
    const s = Apply.one(Apply.empty, plan('a', 0)).state;
    expect(Apply.one(s, plan('b', 3)).state).to.equal(s);
    expect(Apply.one(s, drop('x')).state).to.equal(s);
  });
});

const lending = { rules: ['x'], most: { prefill: 0, decode: 1 }, keep: { prefill: 1, decode: 1 }, length: 800 };

describe('Diff', () => {
  const cases2: [string, Charter | null, Charter, string[]][] = [
    ['no change', charter(1), charter(1), []],
    ['a number', charter(1), charter(2), ['/rules/verdict/limit changes from 1 to 2.']],
    ['a clause that is new', charter(1), { ...charter(1), lending }, [`/lending is new: ${JSON.stringify(lending)}.`]],
    [
      'a number within a clause',
      { ...charter(1), lending },
      { ...charter(1), lending: { ...lending, length: 900 } },
      ['/lending/length changes from 800 to 900.'],
    ],
    ['a first charter', null, charter(1), ['There is no charter yet; all of this is new.']],
  ];
  for (const [name, was, will, words] of cases2)
    it(`tells ${name} in plain words`, () => expect(Diff.of(was, will).map((c) => c.words)).to.deep.equal(words));
});
