import { expect } from 'chai';
import { createHash } from 'node:crypto';
import type { Piece } from './piece.js';
import { StreamCheck } from './streamcheck.js';

const base = { key: 'k', attempt: 1, born: 'b' };
const p = (n: number, more: object = {}): Piece => ({ ...base, n, text: `t${n}`, ...more });
const digest = (n: number): string => {
  const h = createHash('sha256');
  for (let i = 1; i <= n; i++) h.update(`${i}:t${i}\n`);
  return h.digest('hex').slice(0, 24);
};
const end = (count: number, more: object = {}): Piece => ({
  ...base,
  end: true,
  count,
  digest: digest(count),
  ...more,
});
const cases: [string, Piece[], boolean][] = [
  ['a whole stream', [p(1), p(2), end(2)], true],
  ['an empty stream with its end', [end(0)], true],
  ['a gap', [p(1), p(3)], false],
  ['a piece twice', [p(1), p(1)], false],
  ['a start in the middle', [p(2)], false],
  ['an early end', [p(1), end(2)], false],
  ['an end with another digest', [p(1), end(1, { digest: 'x' })], false],
  ['a text that was changed', [p(1, { text: 'other' }), end(1)], false],
  ["another request's piece", [p(1, { key: 'other' })], false],
  ["another try's piece", [p(1, { attempt: 2 })], false],
  ['another life of the server', [p(1), p(2, { born: 'old' })], false],
  ['a line after the end', [p(1), end(1), p(2)], false],
];

describe('StreamCheck', () => {
  for (const [name, list, good] of cases) {
    it(`${good ? 'takes' : 'turns away'} ${name}`, () => {
      const c = StreamCheck.make(base);
      expect(list.map((x) => c.look(x).ok).every((x) => x)).to.equal(good);
    });
  }
});
