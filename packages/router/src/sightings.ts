import { Dice, Fading, type Clock, type Chance } from '@pumicebarrow/forms';
import type { Holding, Purging } from '@pumicebarrow/purge';
import type { Sighting } from '@pumicebarrow/registry';

type Tools = { clock: Clock; chance: Chance; shelf: Holding; purge: Pick<Purging, 'publish'>; self: string };
/** ms for which one word of a server stands for all: about what a suspicion heard of others holds. */
const ENOUGH = 500;
const MOST = 4096;

/**
 * What routers tell each other of servers that failed. Invariant: of one server this daemon tells nothing while a word
 * of it, by whomever, is younger than ENOUGH; so a server that fails many routers at once makes few slips.
 */
export const Sightings = {
  make(t: Tools) {
    const lately = Fading.make<true>(t.clock.mono, MOST);
    const count = { told: 0, spared: 0 };
    t.shelf.heed((doc) => {
      if (doc.name.startsWith('sight:')) lately.set((doc.body as Sighting).server, true, ENOUGH);
    });
    return {
      tell(server: string): void {
        if (lately.get(server)) {
          count.spared++;
          return;
        }
        count.told++;
        const name = `sight:${server}`;
        const body: Sighting = { server, born: server, by: t.self };
        t.purge.publish({ name, mark: [(t.shelf.mark(name)?.[0] ?? 0) + 1, Dice.int(t.chance, 1e6)], body });
      },
      count: () => ({ ...count }),
    };
  },
};
