import { Random, Err } from '@pumicebarrow/forms';
import { GossipDefaults } from '@pumicebarrow/purge';
import { expect } from 'chai';
import { SHORT_PROMPT, runScenario } from './scenario.test.js';
import { Router } from './router.js';
import { request, routing, testClock, testModelServerClient, testResponseWriter, testWorld } from './fixtures.test.js';

describe('a router that is shutting down', () => {
  it('confirms the configuration again after a suspension and serves requests that still arrive', async () => {
    const time = testClock();
    let slept = 0;
    const clock = { ...time.clock, mono: () => time.clock.mono() + slept, wall: () => time.clock.wall() + slept };
    const options = {
      ...{ id: 'r1', addr: '10.0.0.1:1', zone: 'z1', tunes: GossipDefaults, seeds: () => [], drain: 3000 },
      budget: { ratio: 0.2, window: 10_000, slack: 0 },
      revocation: { within: 5000, everywhere: false },
    };
    const source = { poll: () => Promise.resolve(Err('none')) };
    const router = Router.make(testWorld(clock), options, testModelServerClient([], []), source);
    const code = async (): Promise<string | undefined> => {
      const pending = router.serve(request(clock.mono()), testResponseWriter().writer);
      await time.advance(600);
      return (await pending)?.code;
    };
    router.start();
    router.purge.publish({
      ...{ name: 'charter', mark: [1, 0] },
      body: { version: 1, plan: 'p', charter: routing() },
    });
    await time.advance(3000);
    expect(await code()).to.equal('oldlist');
    router.leave(2600, 20_000);
    expect(await code()).to.equal('oldlist');
    slept += 5000;
    expect(await code()).to.equal('asking');
    await time.advance(2000);
    expect(await code()).to.equal('oldlist');
    router.stop();
  });
  it('rejects requests that might not finish before it ends', async () => {
    const cases: [string, number, string | undefined][] = [
      ['while clients may still be sent to it', Infinity, undefined],
      ['with enough time for the longest request', 8001, undefined],
      ['with less time than the request may take', 7000, 'leaving'],
    ];
    for (const [name, left, code] of cases) {
      const got = await runScenario({ ...SHORT_PROMPT, remainingLifetimeMs: left, script: [{ run: 'ok', events: 1 }] });
      expect(got.verdict?.code, name).to.equal(code);
      expect(got.calls.length, name).to.equal(code ? 0 : 1);
    }
  });
  /**
   * Guards against accepting a request by an estimate of its duration. In two fleets a router accepted a request 3.1 s
   * after SIGTERM, because recent responses of the route had been short, and had to abort the response 7.3 s after
   * SIGTERM: it had run for 4.1 s of the 4.2 s that were left. Only the client's wait and the route's timeout bound the
   * duration of a response.
   */
  it('rejects requests whose client may still wait at its end, however short earlier responses were', async () => {
    const random = Random.seeded(71);
    const draw = (least: number, most: number): number => Math.round(least + random.real() * (most - least));
    for (let seed = 0; seed < 60; seed++) {
      const timeout = draw(500, 8000);
      const wait = draw(500, 8000);
      const left = draw(200, 9000);
      const got = await runScenario({
        ...{ route: { timeout }, remainingLifetimeMs: [Infinity, left], retryTimeoutMs: wait },
        request: { ...SHORT_PROMPT.request, deadline: 1000 + wait },
        script: [
          { run: 'ok', events: 1 },
          { run: 'ok', events: 1 },
        ],
      });
      const name = `seed ${seed}: timeout ${timeout}, wait ${wait}, left ${left}`;
      expect(got.verdict?.code, name).to.equal(left < Math.min(timeout, wait) ? 'leaving' : undefined);
    }
  });
});
