import { expect } from 'chai';
import fc from 'fast-check';
import { RegisterHistory } from './registerhistory.js';

type Call = Parameters<typeof RegisterHistory.unexplained>[0][number];
type Outcome = 'won' | 'lost' | 'unclear';
const put = (from: number, to: number, base: number, revision: number, outcome: Outcome): Call => ({
  ...{ kind: 'replace', from, to, base, revision, outcome },
});
const read = (from: number, to: number, revision: number): Call => ({ kind: 'read', from, to, revision });
const good: [string, Call[]][] = [
  ['one after the other', [put(0, 1, 0, 1, 'won'), read(2, 3, 1), put(4, 5, 1, 2, 'won'), read(6, 7, 2)]],
  [
    'a read beside a change, old or new',
    [put(0, 1, 0, 1, 'won'), put(2, 9, 1, 2, 'won'), read(3, 4, 1), read(5, 6, 2)],
  ],
  ['a race', [put(0, 5, 0, 1, 'won'), put(0, 5, 0, 2, 'lost'), read(6, 7, 1)]],
  ['an unclear one that never took effect', [put(0, 1, 0, 1, 'unclear'), read(2, 3, 0), put(4, 5, 0, 2, 'won')]],
  ['an unclear one that took effect late', [put(0, 1, 0, 1, 'unclear'), read(2, 3, 0), read(4, 5, 1)]],
  ['one that lost to an unclear one', [put(0, 1, 0, 1, 'unclear'), put(2, 3, 0, 2, 'lost'), read(4, 5, 1)]],
  ['one against a version not in force yet', [put(0, 1, 3, 4, 'lost'), read(2, 3, 0)]],
];
const bad: [string, Call[]][] = [
  ['an older version is read', [put(0, 1, 0, 1, 'won'), put(2, 3, 1, 2, 'won'), read(4, 5, 1)]],
  ['two win over one', [put(0, 1, 0, 1, 'won'), put(2, 3, 0, 2, 'won')]],
  ['two win over one at once', [put(0, 5, 0, 1, 'won'), put(0, 5, 0, 2, 'won')]],
  ['one is refused though nothing else was in force', [put(0, 1, 0, 1, 'won'), put(2, 3, 1, 2, 'lost'), read(4, 5, 1)]],
  ['one that lost is read', [put(0, 1, 0, 1, 'won'), put(2, 3, 0, 2, 'lost'), read(4, 5, 2)]],
  ['what was confirmed is gone', [put(0, 1, 0, 1, 'won'), read(2, 3, 0)]],
  ['reads go back and forth', [put(0, 9, 0, 1, 'won'), read(1, 2, 1), read(3, 4, 0), read(5, 6, 1)]],
  ['an unclear one is read before it was sent', [read(0, 1, 1), put(2, 3, 0, 1, 'unclear')]],
];

describe('A history of the register', () => {
  for (const [name, calls] of good)
    it(`is explained: ${name}`, () => expect(RegisterHistory.unexplained(calls)).to.deep.equal([]));
  for (const [name, calls] of bad)
    it(`is not explained: ${name}`, () => expect(RegisterHistory.unexplained(calls)).not.to.deep.equal([]));

  /** Calls that took effect one by one at an instant inside each; some outcomes are hidden. */
  const real = fc.array(
    fc.record({
      kind: fc.constantFrom('read', 'put', 'stale'),
      at: fc.nat(1000),
      before: fc.nat(60),
      after: fc.nat(60),
      hidden: fc.boolean(),
    }),
    { maxLength: 40 },
  );
  const play = (
    list: readonly { kind: string; at: number; before: number; after: number; hidden: boolean }[],
  ): Call[] => {
    let revision = 0;
    return [...list]
      .sort((a, b) => a.at - b.at)
      .map((x, i): Call => {
        const [from, to] = [x.at - x.before, x.at + x.after + 0.5];
        if (x.kind === 'read') return read(from, to, revision);
        const base = x.kind === 'put' ? revision : revision + 1000;
        if (x.kind === 'put') revision = i + 1;
        return put(from, to, base, i + 1, x.hidden ? 'unclear' : x.kind === 'put' ? 'won' : 'lost');
      });
  };
  it('is explained whenever the calls did take effect one by one', () => {
    fc.assert(
      fc.property(real, (list) => {
        expect(RegisterHistory.unexplained(play(list))).to.deep.equal([]);
      }),
      { numRuns: 300 },
    );
  });
  it('is not explained once a last read gives what was replaced', () => {
    fc.assert(
      fc.property(real, (list) => {
        const calls = play(list);
        const won = calls.filter((c) => c.kind === 'replace' && c.outcome === 'won');
        if (won.length < 2) return;
        const old = (won[0] as { revision: number }).revision;
        expect(RegisterHistory.unexplained([...calls, read(2000, 2001, old)])).not.to.deep.equal([]);
      }),
      { numRuns: 300 },
    );
  });
});
