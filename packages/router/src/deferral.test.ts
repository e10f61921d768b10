import { expect } from 'chai';
import { Deferral } from './deferral.js';
import { FirstAttempts } from './firstattempts.js';
import { routing } from './fixtures.test.js';

describe('request deferral', () => {
  const late = { expectedMs: 1500, alone: 200, aim: 800, remainingMs: 8000, first: true };
  const cases: [string, Partial<typeof late>, number, number | null][] = [
    ['keeps a request that meets its latency target', { expectedMs: 790 }, 0, null],
    ['defers a late request until the queue should be shorter', {}, 0, 1320],
    ['spreads the return of deferred requests', {}, 1, 2020],
    ['never defers for less than the minimum delay', { expectedMs: 801, aim: 800 }, 0, 481.2],
    ['never defers for longer than the client honors', { expectedMs: 9000 }, 0, 2560],
    ['keeps a request that was deferred before', { first: false }, 0, null],
    ['keeps a request that would be late even without a queue', { alone: 800 }, 0, null],
    ['keeps a request without time to come back', { remainingMs: 900 }, 0, null],
    ['keeps a request that would come back too late for its target', { remainingMs: 1300 }, 0, null],
    ['keeps a request without a latency target', { aim: 0 }, 0, null],
  ];
  for (const [name, c, chance, want] of cases)
    it(name, () => {
      const got = Deferral.retryDelayMs({ ...late, ...c }, chance);
      if (want === null) expect(got).to.equal(null);
      else expect(got).to.be.closeTo(want, 0.001);
    });
  it('distinguishes first attempts from retries by the time that the client has left', () => {
    const firsts = FirstAttempts.make();
    const a = { ...routing().routes[0]!, name: 'a', timeout: 8000 },
      b = { ...a, name: 'b', timeout: 9000 };
    expect(firsts.isFirst(a, 8000)).to.equal(true);
    expect(firsts.isFirst(a, 7992)).to.equal(false);
    expect(firsts.isFirst(a, 9000)).to.equal(true);
    expect(firsts.isFirst(a, 8000)).to.equal(false);
    for (let i = 0; i < 8; i++) expect(firsts.isFirst(b, 2500)).to.equal(false);
    expect(firsts.isFirst(b, 2500)).to.equal(true);
    expect(firsts.isFirst(b, 2490)).to.equal(false);
  });
});
