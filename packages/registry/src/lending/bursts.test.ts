import { SchemaCheck } from '@pumicebarrow/forms';
import { expect } from 'chai';
import type { Static } from 'typebox';
import { CoreStateMachine } from '../state/corestatemachine.js';
import { CoreState } from '../state/corestate.js';
import type { BurstCommand } from './burstcommand.js';
import { BurstAdmission } from './burstadmission.js';
import { Bursts } from './bursts.js';
import { BurstSummary } from './burstsummary.js';
import { BurstShards } from './burstshards.js';

type Command = Static<typeof BurstCommand>;
const spec = (key = 'b', samples = 2, repeats = 0) => ({
  ...{ key, rule: 'rollout', samples, repeats },
  prompts: [{ prefix: 'p', part: 'q' }],
});
const begin = (key = 'b', samples = 2, repeats = 0): Command => ({ do: 'begin', spec: spec(key, samples, repeats) });
const mark = (index: number, number = 1, turn = 1, fence = 1): Command => ({
  ...{ do: 'mark', id: 'b', index, mark: number, turn, fence },
});
const settle = (index: number, to: 'ran' | 'unrun' | 'unsure', number = 1, turn = 1): Command => ({
  ...{ do: 'settle', id: 'b', index, mark: number, turn, to, ...(to === 'ran' ? { text: 'x', count: 1 } : {}) },
});
const end: Command = { do: 'end', id: 'b' };
const lease = (id: string) => ({ do: 'claim' as const, name: BurstShards.leaseNameOf('b'), id, born: 'x' });

type Step = Command | ReturnType<typeof lease>;
const cases: [string, Step[], string[], string][] = [
  [
    'a generation that runs to its end',
    [begin(), mark(0), settle(0, 'ran')],
    ['begun', 'marked', 'settled'],
    'ran waiting',
  ],
  ['a burst submitted twice', [begin(), begin()], ['begun', 'begun'], 'waiting waiting'],
  ['a key reused for another burst', [begin(), begin('b', 3)], ['begun', 'otherbody'], 'waiting waiting'],
  ['two bursts', [begin(), begin('c')], ['begun', 'begun'], 'waiting waiting'],
  ['a mark with an outdated fence', [begin(), lease('e2'), mark(0)], ['begun', 'claimed', 'fenced'], 'waiting waiting'],
  ['a repeated mark', [begin(), mark(0), mark(0)], ['begun', 'marked', 'marked'], 'begun waiting'],
  ['a mark that skips a number', [begin(), mark(0, 2)], ['begun', 'stale'], 'waiting waiting'],
  [
    'a mark that the next runner takes over',
    [begin(), mark(0), lease('e2'), mark(0, 1, 1, 2), mark(0, 1, 2, 2), mark(0, 1, 2)],
    ['begun', 'marked', 'claimed', 'stale', 'marked', 'fenced'],
    'begun waiting',
  ],
  [
    'a generation that did not run and is started again',
    [begin(), mark(0), settle(0, 'unrun'), settle(0, 'unrun'), mark(0), mark(0, 2)],
    ['begun', 'marked', 'settled', 'settled', 'stale', 'marked'],
    'begun waiting',
  ],
  [
    'an old runner that reports unrun for a generation that the next runner runs',
    [begin(), mark(0), mark(0, 1, 2), settle(0, 'unrun')],
    ['begun', 'marked', 'marked', 'stale'],
    'begun waiting',
  ],
  [
    'an old runner that reports an outcome late',
    [begin(), mark(0), mark(0, 1, 2), settle(0, 'ran'), settle(0, 'unsure', 1, 2)],
    ['begun', 'marked', 'marked', 'settled', 'stale'],
    'ran waiting',
  ],
  [
    'a report that would change a final outcome',
    [begin(), mark(0), settle(0, 'unsure'), settle(0, 'ran'), mark(0, 2)],
    ['begun', 'marked', 'settled', 'stale', 'stale'],
    'unsure waiting',
  ],
  [
    'a generation that may be repeated once',
    [begin('b', 2, 1), mark(0), settle(0, 'unsure'), mark(0, 2), settle(0, 'unsure', 2)],
    ['begun', 'marked', 'settled', 'marked', 'settled'],
    'unsure waiting',
  ],
  [
    'a burst ended while generations run',
    [begin(), mark(0), end, mark(1), settle(0, 'unrun')],
    ['begun', 'marked', 'ending', 'stale', 'settled'],
    'dropped dropped',
  ],
  [
    'a burst whose outcomes were deleted, and reuse of its key',
    [begin(), mark(0), end, settle(0, 'ran'), end, end, begin(), begin('b', 3)],
    ['begun', 'marked', 'ending', 'settled', 'gone', 'gone', 'begun', 'otherbody'],
    '',
  ],
  ['an unknown burst', [mark(0), end], ['unknown', 'unknown'], ''],
  ['an unknown generation', [begin(), mark(2)], ['begun', 'unknown'], 'waiting waiting'],
];

describe('Bursts', () => {
  for (const [name, commands, codes, states] of cases) {
    it(`handles ${name}`, () => {
      let state = CoreStateMachine.apply(CoreStateMachine.emptyState, lease('e1')).state;
      const actual = commands.map((command) => {
        const outcome = CoreStateMachine.apply(state, command);
        state = outcome.state;
        expect(SchemaCheck.matches(CoreState, state), `valid state after ${command.do}`).to.equal(true);
        return outcome.ruling.verdict.code;
      });
      expect(actual).to.deep.equal(codes);
      const burst = state.bursts?.find((x) => x.spec.key === 'b');
      if (states !== '') expect(burst?.generations.map((g) => g.state).join(' ')).to.equal(states);
    });
  }
  it('records the reported outcome and counts generations by state', () => {
    let state = CoreStateMachine.apply(CoreStateMachine.emptyState, lease('e1')).state;
    for (const c of [begin(), mark(0), settle(0, 'ran')]) state = CoreStateMachine.apply(state, c).state;
    expect(state.bursts![0]!.generations[0]).to.deep.equal({
      ...{ state: 'ran', mark: 1, turn: 1, repeated: 0, text: 'x', count: 1 },
    });
    expect(BurstSummary.of(state.bursts![0]!)).to.include({ total: 2, ran: 1, waiting: 1, begun: 0 });
  });
  it('refuses a burst beyond the limits before anything is written', () => {
    let state = CoreStateMachine.emptyState;
    const beginBurst = (key: string, samples: number, part = 'q'): string => {
      const outcome = CoreStateMachine.apply(state, {
        do: 'begin',
        spec: { ...spec(key, samples), prompts: Array.from({ length: 5 }, () => ({ prefix: '', part })) },
      });
      state = outcome.state;
      return outcome.ruling.verdict.code;
    };
    expect(beginBurst('large', 52)).to.equal('toolarge');
    expect(beginBurst('wide', 1, 'x'.repeat(6600))).to.equal('toolarge');
    expect(Array.from({ length: 5 }, (_, i) => beginBurst(`b${i}`, 51))).to.deep.equal([
      'begun',
      'begun',
      'begun',
      'begun',
      'full',
    ]);
    expect(state.bursts!.map((b) => b.order)).to.deep.equal([1, 2, 3, 4]);
  });
  it('finishes only when every generation has an outcome', () => {
    let state = CoreStateMachine.apply(CoreStateMachine.emptyState, lease('e1')).state;
    for (const c of [begin('b', 1), mark(0)]) state = CoreStateMachine.apply(state, c).state;
    expect(Bursts.isFinished(state.bursts![0]!)).to.equal(false);
    state = CoreStateMachine.apply(state, settle(0, 'unsure')).state;
    expect(Bursts.isFinished(state.bursts![0]!)).to.equal(true);
  });
  it('accepts a repeated begin although the configuration no longer lets the rule borrow', () => {
    const held = CoreStateMachine.apply(
      CoreStateMachine.apply(CoreStateMachine.emptyState, lease('e1')).state,
      begin(),
    ).state;
    expect(BurstAdmission.mayBegin(held, spec())).to.equal(true);
    expect(BurstAdmission.mayBegin(held, spec('other'))).to.equal(false);
    expect(BurstAdmission.mayBegin(CoreStateMachine.emptyState, spec())).to.equal(false);
    expect(BurstAdmission.mayBegin(null, spec())).to.equal(false);
  });
});
