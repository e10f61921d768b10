import { expect } from 'chai';
import { Meets } from './meets.js';

const deed = (what: string, at: number, more: object = {}, who = 'e1') => ({ what, who, at, ...more });
const admitted = deed('gated', 1, { key: 'k', attempt: 1 });

describe('What a drill must bring about', () => {
  it('is not met by a run in which nothing happened', () => {
    for (const [name, count] of Object.entries(Meets)) expect(count([]), name).to.equal(0);
  });
  const cases: [keyof typeof Meets, ReturnType<typeof deed>[], number][] = [
    ['killedbusy', [admitted, deed('killed', 5)], 1],
    ['killedbusy', [admitted, deed('visit', 3, { key: 'k', attempt: 1 }), deed('killed', 5)], 0],
    ['killedbusy', [admitted, deed('killed', 5, {}, 'e2')], 0],
    ['apart', [deed('frozen', 1, { ms: 5 }), deed('verdict', 4, { code: 'confirmed' })], 1],
    ['apart', [deed('frozen', 1, { ms: 5 }), deed('verdict', 7, { code: 'confirmed' })], 0],
    ['apart', [deed('killed', 1), deed('start', 3), deed('verdict', 4, { code: 'confirmed' })], 0],
    ['atonce', [deed('confirmed', 4), deed('killed', 5)], 1],
    ['atonce', [deed('confirmed', 4), deed('killed', 9)], 0],
    ['cutmet', [deed('lifted', 4, { met: 0 })], 0],
    ['fellbusy', [deed('fell', 4, { open: 0 })], 0],
  ];
  for (const [name, list, want] of cases) {
    it(`${name} is ${want} after ${list.map((d) => d.what).join(', ')}`, () => {
      expect(Meets[name](list)).to.equal(want);
    });
  }
});
