import type { Routing } from '@pumicebarrow/forms';
import { expect } from 'chai';
import fc from 'fast-check';
import type { Command } from '../chain/command.js';
import { CoreStateMachine } from './corestatemachine.js';
import type { CoreState } from './corestate.js';
import { StateChanges } from './statechanges.js';
import { StateDigest } from './statedigest.js';

const route = (i: number, revision: number): Routing['routes'][number] => ({
  ...{ name: `route-${i}`, host: `host-${i}.example`, prefix: `/path-${i}/`, kind: 'stream' as const },
  ...{ split: [{ service: 'alpha', weight: i === 0 ? revision : 1 }], timeout: 8000, aim: 800, gap: 300, rank: 1 },
  ...{ tries: 2, affinity: true, resumable: false },
});
const routing = (revision: number, count: number): Routing => {
  const routes = Array.from({ length: count }, (_, i) => route(i, revision));
  return {
    ...{ revision, routes, services: [], limits: { header: 1, body: 1, headerWait: 1, idle: 1 } },
    source: JSON.stringify({ revision, routes }),
  };
};
const apply = (state: CoreState, command: Command): CoreState => {
  const next = CoreStateMachine.apply(state, command).state;
  return next === state ? state : { ...next, seq: state.seq + 1 };
};
const replaceRouting = (state: CoreState, revision: number, count: number): CoreState => {
  const base = state.charter && 'revision' in state.charter.body ? state.charter.body.revision : 0;
  return apply(state, { do: 'replace', id: `id-${revision}`, base, intent: routing(revision, count) });
};
/** The initial state and each version after one of `changes` replacements. */
const history = (changes: number, routes: number): CoreState[] => {
  const all = [CoreStateMachine.emptyState];
  for (let i = 1; i <= changes; i++) all.push(replaceRouting(all.at(-1)!, i, routes));
  return all;
};
const throughJson = <T>(v: T): T => JSON.parse(JSON.stringify(v)) as T;
const jsonLength = (v: unknown): number => JSON.stringify(v).length;

const commandArbitrary: fc.Arbitrary<Command> = fc.oneof(
  fc.record({
    do: fc.constant('plan' as const),
    id: fc.constantFrom('a', 'b', 'c', 'd'),
    base: fc.nat(4),
    charter: fc.nat(5).map((n) => routing(n + 1, 2)),
  }),
  fc.record({ do: fc.constantFrom('confirm' as const, 'drop' as const), id: fc.constantFrom('a', 'b', 'c', 'd') }),
  fc.record({
    do: fc.constant('claim' as const),
    name: fc.constantFrom('x', 'y'),
    id: fc.constantFrom('k1', 'k2'),
    born: fc.constant('life'),
  }),
  fc.nat(40).map((n): Command => ({ do: 'replace', id: `r${n}`, base: n >> 1, intent: routing((n >> 1) + 1, n) })),
);

describe('StateChanges', () => {
  it('turns any earlier version into any later one exactly', () => {
    fc.assert(
      fc.property(fc.array(commandArbitrary, { maxLength: 30 }), fc.nat(), fc.nat(), (steps, a, b) => {
        const all = steps.reduce((list, c) => [...list, apply(list.at(-1)!, c)], [CoreStateMachine.emptyState]);
        const [x, y] = [a % all.length, b % all.length];
        const from = all[Math.min(x, y)]!;
        const to = all[Math.max(x, y)]!;
        const changes = StateChanges.make();
        expect(changes.apply(throughJson(from), throughJson(changes.between(from, to)))).to.deep.equal(to);
        // Going back from an uncommitted version may need the whole state.
        expect(changes.apply(throughJson(to), throughJson(changes.between(to, from)))).to.satisfy(
          (v: unknown) => v === null || StateDigest.of(v as CoreState) === StateDigest.of(from),
        );
      }),
      { numRuns: 300 },
    );
  });
  it('applies only to its base version, not to another with the same sequence number', () => {
    const [, one] = history(1, 2) as [CoreState, CoreState];
    const other = apply(CoreStateMachine.emptyState, { do: 'replace', id: 'other', base: 0, intent: routing(7, 2) });
    const next = replaceRouting(one, 2, 2);
    expect(other.seq).to.equal(one.seq);
    const change = StateChanges.make().between(one, next);
    expect(StateChanges.make().apply(other, change)).to.equal(null);
    expect(StateChanges.make().apply(CoreStateMachine.emptyState, change)).to.equal(null);
    expect(StateChanges.make().apply(one, change)).to.deep.equal(next);
  });
  it('rejects a change whose outcome does not have the stated digest', () => {
    const [, one, two] = history(2, 2) as [CoreState, CoreState, CoreState];
    const change = StateChanges.make().between(one, two);
    const corrupted = [
      { ...change, forgotten: ['id-1'] },
      { ...change, plans: [] },
      { ...change, claims: { x: { id: 'k', born: 'b', fence: 1 } } },
      { ...change, result: { ...change.result, seq: 9 } },
    ];
    for (const corruptedChange of corrupted) expect(StateChanges.make().apply(one, corruptedChange)).to.equal(null);
  });
  it('sends only two version names if both versions are the same', () => {
    const state = history(300, 8).at(-1)!;
    const change = StateChanges.make().between(throughJson(state), state);
    expect(jsonLength(change)).to.be.lessThan(250);
    expect(StateChanges.make().apply(state, change)).to.equal(state);
  });
  for (const [routes, most] of [
    [8, 0.25],
    [2600, 0.01],
  ] as const)
    it(`sends little of the whole state at ${routes} routes, after 300 changes`, () => {
      const all = history(300, routes === 8 ? 8 : 1);
      const base = routes === 8 ? all.at(-2)! : replaceRouting(all.at(-1)!, 301, routes);
      const next = routes === 8 ? all.at(-1)! : replaceRouting(base, 302, routes);
      const change = StateChanges.make().between(base, next);
      expect(jsonLength(change) / jsonLength(next)).to.be.lessThan(most);
      expect(StateChanges.make().apply(throughJson(base), throughJson(change))).to.deep.equal(next);
    });
  it('gives equal digests to equal states, however they were obtained', () => {
    const state = history(5, 3).at(-1)!;
    expect(StateDigest.of(throughJson(state))).to.equal(StateDigest.of(state));
  });
});
