import { expect } from 'chai';
import { RendezvousHash } from './rendezvoushash.js';

describe('RendezvousHash', () => {
  const nodes = (n: number): string[] => Array.from({ length: n }, (_, i) => `m${i}`);
  for (const [n, count] of [
    [0, 3],
    [2, 3],
    [3, 3],
    [60, 1],
    [60, 6],
  ] as const)
    it(`picks of ${n} nodes the same first ${count} as the full ranking`, () => {
      const top = (key: string): string[] => RendezvousHash.top(key, nodes(n), (x) => x, count);
      for (let key = 0; key < 50; key++)
        expect(top(`k${key}`)).to.deep.equal(RendezvousHash.rank(`k${key}`, nodes(n), (x) => x).slice(0, count));
    });
  for (const n of [0, 1, 2, 9, 60])
    it(`picks of ${n} nodes the same first as the full ranking`, () => {
      for (let key = 0; key < 50; key++)
        expect(RendezvousHash.first(`k${key}`, nodes(n), (x) => x)).to.equal(
          RendezvousHash.rank(`k${key}`, nodes(n), (x) => x)[0],
        );
    });
});
