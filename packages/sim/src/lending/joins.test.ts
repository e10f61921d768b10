import type { Deed } from '@pumicebarrow/forms';
import { expect } from 'chai';
import { History } from '../history.js';
import { Text } from '../text.js';
import { Joins } from './joins.js';

const DIGEST = 'd';
const pieces = (n: number, text = (i: number): string => Text.piece(DIGEST, i)): string[] =>
  Array.from({ length: n }, (_, i) => text(i + 1));
const ran = (mark: number, from: number, seal = Text.seal(pieces(from))): Deed => ({
  ...{ what: 'ran', at: mark * 100, who: 'm1', key: `burst-a.0.${mark}`, attempt: 1, digest: DIGEST, from, seal },
});
const told = (what: string, mark: number, n: number): Deed => ({
  ...{ what, at: mark * 100 + 50, who: 'e1', burst: 'burst-a', index: 0, mark, pieces: n, to: 'cut' },
});
const cut = (mark: number, n: number): Deed[] => [told('generation', mark, n), told('rests', mark, n)];
const cases: [string, Deed[], string][] = [
  ['one that was never cut', [ran(1, 0)], ''],
  ['one that goes on where it was cut, twice', [ran(1, 0), ...cut(1, 3), ran(2, 3), ...cut(2, 5), ran(3, 5)], ''],
  ['a piece twice', [ran(1, 0), ...cut(1, 3), ran(2, 2)], 'a piece twice'],
  ['one that begins anew while pieces are held', [ran(1, 0), ...cut(1, 3), ran(2, 0)], 'a piece twice'],
  ['a gap', [ran(1, 0), ...cut(1, 3), ran(2, 4)], 'a gap'],
  ['a start in the middle of one never cut', [ran(1, 2)], 'a gap'],
  ['pieces of another', [ran(1, 0), ...cut(1, 3), ran(2, 3, Text.seal(['x', 'y', 'z']))], 'joined wrongly'],
  ['a cut of which its runner never heard that it is held', [ran(1, 0), told('generation', 1, 3), ran(2, 3)], ''],
  ['one such that begins anew', [ran(1, 0), told('generation', 1, 3), ran(2, 0)], ''],
  ['one such that goes on elsewhere', [ran(1, 0), told('generation', 1, 3), ran(2, 2)], 'was not cut'],
];

describe('What goes on at a piece', () => {
  for (const [name, deeds, want] of cases)
    it(`is judged: ${name}`, () => {
      const got = Joins.broken(History.make(deeds));
      expect(got).to.have.length(want === '' ? 0 : 1);
      if (want !== '') expect(got[0]).to.include(want);
    });
  it('must have been cut at once when its server was called back', () => {
    const at = (what: string, who: string, ms: number, more: object): Deed => ({ what, who, at: ms, ...more });
    const key = 'burst-a.0.1',
      attempt = 1;
    const run = (over: number): string[] =>
      Joins.late(
        History.make([
          at('burst', '-', 0, { key: 'burst-a', resumes: true }),
          at('send', 'e1', 10, { part: 'decode', server: 'm1', key, attempt }),
          at('streams', 'e1', 20, { key, attempt, server: 'm1' }),
          at('recalled', 'e1', 30, { server: 'm1' }),
          at('visit', 'e1', over, { key, attempt, ran: 'maybe', code: 'cut' }),
        ]),
      );
    expect(run(40)).to.deep.equal([]);
    expect(run(200)).to.deep.equal([`${key} 1 ran on at m1 after it was called back`]);
  });
});
