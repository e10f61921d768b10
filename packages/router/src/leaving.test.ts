import { Err } from '@pumicebarrow/forms';
import { Tuned } from '@pumicebarrow/purge';
import { expect } from 'chai';
import { Router } from './router.js';
import { request, routing, testClock, testEngine, testSink, testWorld } from './stand.test.js';

describe('a router that leaves', () => {
  it('learns the newest configuration again after a sleep, and serves what still comes', async () => {
    const time = testClock();
    let slept = 0;
    const clock = { ...time.clock, mono: () => time.clock.mono() + slept, wall: () => time.clock.wall() + slept };
    const startup = {
      ...{ id: 'r1', addr: '10.0.0.1:1', zone: 'z1', tunes: Tuned, seeds: () => [], drain: 3000 },
      budget: { ratio: 0.2, window: 10_000, slack: 0 },
    };
    const source = { poll: () => Promise.resolve(Err('none')) };
    const router = Router.make(testWorld(clock), startup, testEngine([], []), source);
    const code = async (): Promise<string | undefined> => {
      const told = router.serve(request(clock.mono()), testSink().sink);
      await time.pass(600);
      return (await told)?.code;
    };
    router.start();
    router.purge.publish({
      ...{ name: 'charter', mark: [1, 0] },
      body: { version: 1, plan: 'p', charter: routing() },
    });
    await time.pass(3000);
    expect(await code()).to.equal('oldlist');
    router.leave();
    expect(await code()).to.equal('oldlist');
    slept += 5000;
    expect(await code()).to.equal('asking');
    await time.pass(2000);
    expect(await code()).to.equal('oldlist');
    router.stop();
  });
});
