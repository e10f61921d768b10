import { expect } from 'chai';
import { createHash } from 'node:crypto';
import type { DecodeStreamLine } from './decodestreamline.js';
import { StreamValidator } from './streamvalidator.js';

const base = { key: 'k', attempt: 1, born: 'b' };
const piece = (n: number, more: object = {}): DecodeStreamLine => ({ ...base, n, text: `t${n}`, ...more });
const digest = (n: number): string => {
  const hash = createHash('sha256');
  for (let i = 1; i <= n; i++) hash.update(`${i}:t${i}\n`);
  return hash.digest('hex').slice(0, 24);
};
const end = (count: number, more: object = {}): DecodeStreamLine => ({
  ...base,
  end: true,
  count,
  digest: digest(count),
  ...more,
});
const cases: [string, DecodeStreamLine[], boolean][] = [
  ['a complete stream', [piece(1), piece(2), end(2)], true],
  ['an empty stream with its end', [end(0)], true],
  ['a gap', [piece(1), piece(3)], false],
  ['a repeated piece', [piece(1), piece(1)], false],
  ['a start in the middle', [piece(2)], false],
  ['an early end', [piece(1), end(2)], false],
  ['an end with another digest', [piece(1), end(1, { digest: 'x' })], false],
  ['a text that was changed', [piece(1, { text: 'other' }), end(1)], false],
  ["another request's piece", [piece(1, { key: 'other' })], false],
  ["another attempt's piece", [piece(1, { attempt: 2 })], false],
  ['a piece of another incarnation of the server', [piece(1), piece(2, { born: 'old' })], false],
  ['a line after the end', [piece(1), end(1), piece(2)], false],
];

describe('StreamValidator', () => {
  for (const [name, lines, accepted] of cases) {
    it(`${accepted ? 'takes' : 'turns away'} ${name}`, () => {
      const validator = StreamValidator.make(base);
      expect(lines.map((x) => validator.check(x).ok).every((x) => x)).to.equal(accepted);
    });
  }
});
