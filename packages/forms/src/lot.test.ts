import { expect } from 'chai';
import { Lot } from './lot.js';

describe('Rendezvous', () => {
  const names = (n: number): string[] => Array.from({ length: n }, (_, i) => `m${i}`);
  for (const [n, many] of [
    [0, 3],
    [2, 3],
    [3, 3],
    [60, 1],
    [60, 6],
  ] as const)
    it(`names of ${n} the first ${many} as it ranks them`, () => {
      const few = (key: string): string[] => Lot.few(key, names(n), (x) => x, many);
      for (let key = 0; key < 50; key++)
        expect(few(`k${key}`)).to.deep.equal(Lot.rank(`k${key}`, names(n), (x) => x).slice(0, many));
    });
  for (const n of [0, 1, 2, 9, 60])
    it(`names of ${n} first whom it ranks first`, () => {
      for (let key = 0; key < 50; key++)
        expect(Lot.first(`k${key}`, names(n), (x) => x)).to.equal(Lot.rank(`k${key}`, names(n), (x) => x)[0]);
    });
});
