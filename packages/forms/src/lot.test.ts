import { expect } from 'chai';
import { Lot } from './lot.js';

describe('Rendezvous', () => {
  const names = (n: number): string[] => Array.from({ length: n }, (_, i) => `m${i}`);
  for (const n of [0, 1, 2, 9, 60])
    it(`names of ${n} first whom it ranks first`, () => {
      for (let key = 0; key < 50; key++)
        expect(Lot.first(`k${key}`, names(n), (x) => x)).to.equal(Lot.rank(`k${key}`, names(n), (x) => x)[0]);
    });
});
