import { expect } from 'chai';
import { Deferral } from './deferral.js';
import { FirstTries } from './firsttries.js';
import { routing } from './stand.test.js';

describe('the deferral of a request', () => {
  const late = { foreseen: 1500, alone: 200, aim: 800, left: 8000, first: true };
  const cases: [string, Partial<typeof late>, number, number | null][] = [
    ['one that makes its aim stays', { foreseen: 790 }, 0, null],
    ['one that would be late comes back once the queue should be shorter', {}, 0, 1320],
    ['not all at the same time', {}, 1, 2020],
    ['never sooner than a queue changes', { foreseen: 801, aim: 800 }, 0, 481.2],
    ['never later than the client heeds', { foreseen: 9000 }, 0, 2560],
    ['one that was sent away before stays', { first: false }, 0, null],
    ['one that would be late even alone stays', { alone: 800 }, 0, null],
    ['one without time to come back stays', { left: 900 }, 0, null],
    ['one that would come back too late for its aim stays', { left: 1300 }, 0, null],
    ['one without an aim stays', { aim: 0 }, 0, null],
  ];
  for (const [name, c, chance, want] of cases)
    it(name, () => {
      const got = Deferral.of({ ...late, ...c }, chance);
      if (want === null) expect(got).to.equal(null);
      else expect(got).to.be.closeTo(want, 0.001);
    });
  it('tells first tries from further ones by the time that the client has left', () => {
    const firsts = FirstTries.make();
    const a = { ...routing().routes[0]!, name: 'a', timeout: 8000 },
      b = { ...a, name: 'b', timeout: 9000 };
    expect(firsts.is(a, 8000)).to.equal(true);
    expect(firsts.is(a, 7992)).to.equal(false);
    expect(firsts.is(a, 9000)).to.equal(true);
    expect(firsts.is(a, 8000)).to.equal(false);
    for (let i = 0; i < 8; i++) expect(firsts.is(b, 2500)).to.equal(false);
    expect(firsts.is(b, 2500)).to.equal(true);
    expect(firsts.is(b, 2490)).to.equal(false);
  });
});
