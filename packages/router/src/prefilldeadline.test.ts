import { expect } from 'chai';
import { runScenario } from './scenario.test.js';
import { PrefillDeadline } from './prefilldeadline.js';
import { prompt, server } from './fixtures.test.js';

describe('requests whose prompt would be read too late', () => {
  const c = { queuedMs: 1000, ownMs: 30, atDecodeServer: false, aim: 800, remainingMs: 8000 };
  const cases: [string, Partial<typeof c>, boolean][] = [
    ['a short prompt behind a queue is accepted', {}, false],
    ['a long prompt that is read in time is accepted', { ownMs: 1500 }, false],
    ['a long prompt that is not read in time is rejected', { ownMs: 1600 }, true],
    ['a long prompt without a queue is accepted', { ownMs: 4000, queuedMs: 0 }, false],
    ['a short prompt at a decode server is accepted', { atDecodeServer: true }, false],
    ['a long prompt at a decode server with a queue is rejected', { ownMs: 400, atDecodeServer: true }, true],
    [
      'a long prompt at a decode server without a queue is accepted',
      { ownMs: 4000, queuedMs: 0, atDecodeServer: true },
      false,
    ],
    ['a prompt behind a queue longer than its client would wait is rejected', { queuedMs: 2600 }, true],
    ['a prompt whose client has little time left is rejected', { remainingMs: 1200 }, true],
    ['a prompt with a longer latency target may wait longer', { queuedMs: 2600, aim: 1500 }, false],
  ];
  for (const [name, more, want] of cases)
    it(name, () => expect(PrefillDeadline.wouldMiss({ ...c, ...more })).to.equal(want));
  const lone = () => ({ servers: [server('d1', 'decode')], script: [{ run: 'ok' as const, events: 1 }] });
  for (const [name, tokens, own, code] of [
    ['a single decode server: a long prompt behind a long queue is rejected at once', 30_000, 12_000, 'overload'],
    ['a single decode server: a short prompt behind the same queue is accepted', 30_000, 800, undefined],
    ['a single decode server: a long prompt without a queue is accepted', 0, 12_000, undefined],
    ['a single decode server: even a short prompt is rejected behind a very long queue', 90_000, 800, 'overload'],
  ] as const)
    it(name, async () => {
      const got = await runScenario({ ...lone(), queuedTokens: { d1: tokens }, request: { prompt: prompt(0, own) } });
      expect(got.verdict?.code).to.equal(code);
      if (code) expect(got.verdict?.ran).to.equal('no');
    });
  it('are rejected at once in a service with separate prefill and decode servers', async () => {
    const got = await runScenario({ script: [], queuedTokens: { p1: 150_000, d1: 90_000, d2: 90_000 } });
    expect([got.verdict?.ran, got.verdict?.code, got.calls]).to.deep.equal(['no', 'overload', []]);
    expect(got.verdict?.after).to.be.greaterThan(0);
  });
  it('are accepted if the prefill servers have time', async () => {
    const got = await runScenario({
      script: [{ read: 'ok' }, { run: 'ok', events: 1 }],
      queuedTokens: { d1: 90_000, d2: 90_000 },
    });
    expect(got.verdict).to.equal(null);
  });
});
