import { Order, type Chance, type Clock, type Note } from '@pumicebarrow/forms';
import { Ageing } from './ageing.js';

type Held = { note: Note; born: number };

/**
 * The notices. Invariants: never more than `size` after a gossip; one a name, the newest date;
 * a notice is here only while its version is on this daemon's shelf.
 */
export const NoteCache = {
  make(clock: Clock, chance: Chance, size: number, least: number) {
    let held: readonly Held[] = [];
    let evicted = 0;
    const age = (h: Held): number => clock.mono() - h.born;
    return {
      all: (): readonly Note[] => held.map((h) => ({ ...h.note, age: age(h) })),
      evicted: (): number => evicted,
      /** LINEAR chooses what to send. */
      send: (g: number): Note[] =>
        Ageing.draw(chance, held, g, age, Ageing.linear, least).map((h) => ({
          ...h.note,
          age: age(h),
          hops: h.note.hops + 1,
        })),
      add(list: readonly Note[]): void {
        const next = new Map(held.map((h) => [h.note.name, h]));
        for (const note of list) {
          const old = next.get(note.name);
          if (!old || Order.newer(note.date, old.note.date))
            next.set(note.name, { note, born: clock.mono() - note.age });
        }
        held = [...next.values()];
      },
      /** AGE2 chooses what to keep. */
      keep(): void {
        if (held.length <= size) return;
        evicted += held.length - size;
        held = Ageing.draw(chance, held, size, age, Ageing.age2, least);
      },
    };
  },
};
