import { Check } from '@pumicebarrow/forms';
import { expect } from 'chai';
import type { Static } from 'typebox';
import { Apply } from '../state/apply.js';
import { CoreState } from '../state/corestate.js';
import type { BurstCommand } from './burstcommand.js';
import { BurstAdmission } from './burstrule.js';
import { Bursts } from './bursts.js';
import { BurstSummary } from './burstsummary.js';
import { Shards } from './shards.js';

type Command = Static<typeof BurstCommand>;
const spec = (key = 'b', samples = 2, repeats = 0) => ({
  ...{ key, rule: 'rollout', samples, repeats },
  prompts: [{ prefix: 'p', part: 'q' }],
});
const begin = (key = 'b', samples = 2, repeats = 0): Command => ({ do: 'begin', spec: spec(key, samples, repeats) });
const mark = (index: number, m = 1, turn = 1, fence = 1): Command => ({
  ...{ do: 'mark', id: 'b', index, mark: m, turn, fence },
});
const settle = (index: number, to: 'ran' | 'unrun' | 'unsure', m = 1, turn = 1): Command => ({
  ...{ do: 'settle', id: 'b', index, mark: m, turn, to, ...(to === 'ran' ? { text: 'x', count: 1 } : {}) },
});
const end: Command = { do: 'end', id: 'b' };
const lease = (id: string) => ({ do: 'claim' as const, name: Shards.of('b'), id, born: 'x' });

type Step = Command | ReturnType<typeof lease>;
const cases: [string, Step[], string[], string][] = [
  ['one that runs whole', [begin(), mark(0), settle(0, 'ran')], ['begun', 'marked', 'settled'], 'ran waiting'],
  ['one begun twice', [begin(), begin()], ['begun', 'begun'], 'waiting waiting'],
  ['a key used for another body', [begin(), begin('b', 3)], ['begun', 'otherbody'], 'waiting waiting'],
  ['two bursts', [begin(), begin('c')], ['begun', 'begun'], 'waiting waiting'],
  ['a mark under an old fence', [begin(), lease('e2'), mark(0)], ['begun', 'claimed', 'fenced'], 'waiting waiting'],
  ['a mark said twice', [begin(), mark(0), mark(0)], ['begun', 'marked', 'marked'], 'begun waiting'],
  ['a mark that was passed over', [begin(), mark(0, 2)], ['begun', 'stale'], 'waiting waiting'],
  [
    'a mark taken up by the next runner',
    [begin(), mark(0), lease('e2'), mark(0, 1, 1, 2), mark(0, 1, 2, 2), mark(0, 1, 2)],
    ['begun', 'marked', 'claimed', 'stale', 'marked', 'fenced'],
    'begun waiting',
  ],
  [
    'one given back and begun again',
    [begin(), mark(0), settle(0, 'unrun'), settle(0, 'unrun'), mark(0), mark(0, 2)],
    ['begun', 'marked', 'settled', 'settled', 'stale', 'marked'],
    'begun waiting',
  ],
  [
    'an old runner that says unrun of what the next one runs',
    [begin(), mark(0), mark(0, 1, 2), settle(0, 'unrun')],
    ['begun', 'marked', 'marked', 'stale'],
    'begun waiting',
  ],
  [
    'an old runner that had the outcome after all',
    [begin(), mark(0), mark(0, 1, 2), settle(0, 'ran'), settle(0, 'unsure', 1, 2)],
    ['begun', 'marked', 'marked', 'settled', 'stale'],
    'ran waiting',
  ],
  [
    'an outcome that would change',
    [begin(), mark(0), settle(0, 'unsure'), settle(0, 'ran'), mark(0, 2)],
    ['begun', 'marked', 'settled', 'stale', 'stale'],
    'unsure waiting',
  ],
  [
    'one that may be repeated once',
    [begin('b', 2, 1), mark(0), settle(0, 'unsure'), mark(0, 2), settle(0, 'unsure', 2)],
    ['begun', 'marked', 'settled', 'marked', 'settled'],
    'unsure waiting',
  ],
  [
    'one ended while some run',
    [begin(), mark(0), end, mark(1), settle(0, 'unrun')],
    ['begun', 'marked', 'ending', 'stale', 'settled'],
    'dropped dropped',
  ],
  [
    'one ended, done, and forgotten, whose key is not used again',
    [begin(), mark(0), end, settle(0, 'ran'), end, end, begin(), begin('b', 3)],
    ['begun', 'marked', 'ending', 'settled', 'gone', 'gone', 'begun', 'otherbody'],
    '',
  ],
  ['one nobody began', [mark(0), end], ['unknown', 'unknown'], ''],
  ['a generation that is not there', [begin(), mark(2)], ['begun', 'unknown'], 'waiting waiting'],
];

describe('The record of a burst', () => {
  for (const [name, list, codes, states] of cases) {
    it(`rules on ${name}`, () => {
      let s = Apply.one(Apply.empty, lease('e1')).state;
      const got = list.map((c) => {
        const d = Apply.one(s, c);
        s = d.state;
        expect(Check.is(CoreState, s), `what the core may keep, after ${c.do}`).to.equal(true);
        return d.ruling.verdict.code;
      });
      expect(got).to.deep.equal(codes);
      const b = s.bursts?.find((x) => x.spec.key === 'b');
      if (states !== '') expect(b?.generations.map((g) => g.state).join(' ')).to.equal(states);
    });
  }
  it('keeps the outcome that was told, and counts', () => {
    let s = Apply.one(Apply.empty, lease('e1')).state;
    for (const c of [begin(), mark(0), settle(0, 'ran')]) s = Apply.one(s, c).state;
    expect(s.bursts![0]!.generations[0]).to.deep.equal({
      ...{ state: 'ran', mark: 1, turn: 1, repeated: 0, text: 'x', count: 1 },
    });
    expect(BurstSummary.of(s.bursts![0]!)).to.include({ total: 2, ran: 1, waiting: 1, begun: 0 });
  });
  it('is bounded, and tells so before anything is written', () => {
    let s = Apply.empty;
    const say = (key: string, samples: number, part = 'q'): string => {
      const d = Apply.one(s, {
        do: 'begin',
        spec: { ...spec(key, samples), prompts: Array.from({ length: 5 }, () => ({ prefix: '', part })) },
      });
      s = d.state;
      return d.ruling.verdict.code;
    };
    expect(say('large', 52)).to.equal('toolarge');
    expect(say('wide', 1, 'x'.repeat(6600))).to.equal('toolarge');
    expect(Array.from({ length: 5 }, (_, i) => say(`b${i}`, 51))).to.deep.equal([
      'begun',
      'begun',
      'begun',
      'begun',
      'full',
    ]);
    expect(s.bursts!.map((b) => b.order)).to.deep.equal([1, 2, 3, 4]);
  });
  it('is over only when each has its outcome', () => {
    let s = Apply.one(Apply.empty, lease('e1')).state;
    for (const c of [begin('b', 1), mark(0)]) s = Apply.one(s, c).state;
    expect(Bursts.isFinished(s.bursts![0]!)).to.equal(false);
    s = Apply.one(s, settle(0, 'unsure')).state;
    expect(Bursts.isFinished(s.bursts![0]!)).to.equal(true);
  });
  it('may be said again also where the charter lets its rule borrow no more', () => {
    const held = Apply.one(Apply.one(Apply.empty, lease('e1')).state, begin()).state;
    expect(BurstAdmission.mayBegin(held, spec())).to.equal(true);
    expect(BurstAdmission.mayBegin(held, spec('other'))).to.equal(false);
    expect(BurstAdmission.mayBegin(Apply.empty, spec())).to.equal(false);
    expect(BurstAdmission.mayBegin(null, spec())).to.equal(false);
  });
});
