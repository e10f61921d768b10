import { expect } from 'chai';
import { routing } from './fixtures.test.js';
import { Urgency } from './urgency.js';

describe('the urgency of a request', () => {
  const route = { ...routing().routes[0]!, aim: 800 };
  const cases: [string, number, number, number, boolean?][] = [
    ['a long prompt that can just meet its target goes first', 700, 0, 2],
    ['a prompt with some laxity goes next', 450, 0, 3],
    ['a prompt with more laxity goes after it', 200, 0, 4],
    ['a short prompt can wait', 30, 0, 5],
    ['a prompt of the lowest ranks goes one class later', 30, 2, 6],
    ['a tiny prompt goes ahead of all classes', 20, 2, 1],
    ['a request that was deferred once goes ahead of all classes', 700, 2, 1, true],
    ['a deferred request that misses its target even alone goes last', 900, 0, 7, true],
    ['a request that misses its target even alone goes last', 900, 0, 7],
  ];
  for (const [name, ms, rank, want, ahead = false] of cases)
    it(name, () => expect(Urgency.levelOf({ ...route, rank }, ms, ahead)).to.equal(want));
});
