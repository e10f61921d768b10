import { Order, type Chance, type Clock, type Notice } from '@pumicebarrow/forms';
import { AgeWeighting } from './ageing.js';

type Held = { note: Notice; born: number };

/**
 * The notices. Invariants: never more than `size` after a gossip; one a name, the newest date;
 * a notice is here only while its version is on this daemon's shelf.
 */
export const NoticeCache = {
  make(clock: Clock, chance: Chance, size: number, least: number) {
    let held: readonly Held[] = [];
    let evicted = 0;
    const age = (h: Held): number => clock.mono() - h.born;
    return {
      all: (): readonly Notice[] => held.map((h) => ({ ...h.note, age: age(h) })),
      evicted: (): number => evicted,
      /** LINEAR chooses what to send. */
      selectToSend: (g: number): Notice[] =>
        AgeWeighting.sample(chance, held, g, age, AgeWeighting.linear, least).map((h) => ({
          ...h.note,
          age: age(h),
          hops: h.note.hops + 1,
        })),
      add(list: readonly Notice[]): void {
        const next = new Map(held.map((h) => [h.note.name, h]));
        for (const note of list) {
          const old = next.get(note.name);
          if (!old || Order.newer(note.date, old.note.date))
            next.set(note.name, { note, born: clock.mono() - note.age });
        }
        held = [...next.values()];
      },
      /** AGE2 chooses what to keep. */
      evictExcess(): void {
        if (held.length <= size) return;
        evicted += held.length - size;
        held = AgeWeighting.sample(chance, held, size, age, AgeWeighting.inverseSquare, least);
      },
    };
  },
};
