import { Random } from '@pumicebarrow/forms';
import { expect } from 'chai';
import { LoadShedder } from './loadshedder.js';
import { testClock } from './fixtures.test.js';

/** Requests arrive every 10 ms for `ms` and find a given wait; returns the fraction of them that was rejected. */
const rejectedFraction = async (
  time: ReturnType<typeof testClock>,
  shedder: ReturnType<typeof LoadShedder.make>,
  ms: number,
  waits: number,
): Promise<number> => {
  let shed = 0;
  for (let i = 0; i < ms / 10; i++) {
    if (shedder.shouldShed(waits)) shed++;
    await time.advance(10);
  }
  return shed / (ms / 10);
};
const make = (seed: number) => {
  const time = testClock();
  return { time, shedder: LoadShedder.make(time.clock, Random.seeded(seed)) };
};

describe('load shedding', () => {
  it('rejects nothing while the queue is short, however long that lasts', async () => {
    const { time, shedder } = make(1);
    expect(await rejectedFraction(time, shedder, 20_000, 190)).to.equal(0);
    expect(shedder.isActive()).to.equal(false);
  });
  it('hardly rejects anything in a short burst', async () => {
    for (const seed of [1, 2, 3, 4, 5]) {
      const { time, shedder } = make(seed);
      expect(await rejectedFraction(time, shedder, 400, 900), `seed ${seed}`).to.be.lessThan(0.2);
    }
  });
  it('rejects most, but never all, while the queue is long for seconds, and hardly any afterwards', async () => {
    for (const seed of [1, 2, 3, 4, 5]) {
      const { time, shedder } = make(seed);
      await rejectedFraction(time, shedder, 5000, 2000);
      const part = await rejectedFraction(time, shedder, 5000, 2000);
      expect(part, `seed ${seed}`).to.be.within(0.8, 0.99);
      await rejectedFraction(time, shedder, 6000, 0);
      expect(await rejectedFraction(time, shedder, 2000, 300), `seed ${seed}, later`).to.be.lessThan(0.05);
    }
  });
  it('bounds the queue of an overloaded server, and keeps it busy', async () => {
    for (const seed of [1, 2, 3])
      for (const load of [1.3, 2, 4]) {
        const { time, shedder } = make(seed);
        const sizes = Random.seeded(seed + 100);
        let queue = 0;
        let idle = 0;
        let sum = 0;
        const steps = 6000;
        for (let i = 0; i < steps; i++) {
          if (!shedder.shouldShed(queue)) queue += sizes.real() * 20 * load;
          if (i > steps / 2 && queue < 10) idle++;
          queue = Math.max(0, queue - 10);
          if (i > steps / 2) sum += queue;
          await time.advance(10);
        }
        expect(sum / (steps / 2), `seed ${seed}, ${load} times the load`).to.be.within(150, 800);
        expect(idle / (steps / 2), `seed ${seed}, ${load} times the load, idle`).to.be.lessThan(0.05);
      }
  });
});
