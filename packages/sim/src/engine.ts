import { Random, type RandomSource } from '@pumicebarrow/forms';
import { Heap } from 'heap-js';

type Event = { at: number; order: number; fn: () => void };

/**
 * Virtual time. Invariants: events run in order of time, then of their making; between two events every
 * promise that can settle has settled; nothing else moves the clock. So one seed gives one run.
 */
export const Engine = {
  make(seed: number) {
    const heap = new Heap<Event>((a, b) => a.at - b.at || a.order - b.order);
    const chance: RandomSource = Random.seeded(seed);
    let now = 0;
    let order = 0;
    let events = 0;
    return {
      chance,
      now: (): number => now,
      events: (): number => events,
      at(ms: number, fn: () => void): void {
        heap.push({ at: Math.max(now, ms), order: order++, fn });
      },
      async run(until: number): Promise<void> {
        for (let e = heap.peek(); e && e.at <= until; e = heap.peek()) {
          heap.pop();
          now = e.at;
          events++;
          e.fn();
          await new Promise<void>((done) => {
            setImmediate(done);
          });
        }
        now = Math.max(now, until);
      },
    };
  },
};
