import { Dice, Fading, type Clock, type Chance } from '@pumicebarrow/forms';
import type { Holding, Purging } from '@pumicebarrow/purge';
import type { Sighting } from '@pumicebarrow/registry';

type Dependencies = { clock: Clock; chance: Chance; shelf: Holding; purge: Pick<Purging, 'publish'>; self: string };
/**
 * How long one report of a server, by any router, makes further ones unnecessary: about as long as other routers heed a
 * report.
 */
const REPORT_VALID_MS = 500;
const MAX_TRACKED_SERVERS = 4096;

/**
 * Tells the other routers which servers failed. Invariant: this daemon publishes no report of a server while another
 * one, by any router, is younger than REPORT_VALID_MS; so a server that fails many routers at once causes few messages.
 */
export const Sightings = {
  make(deps: Dependencies) {
    const recentlyReported = Fading.make<true>(deps.clock.mono, MAX_TRACKED_SERVERS);
    const counts = { published: 0, suppressed: 0 };
    deps.shelf.heed((doc) => {
      if (doc.name.startsWith('sight:')) recentlyReported.set((doc.body as Sighting).server, true, REPORT_VALID_MS);
    });
    return {
      report(server: string): void {
        if (recentlyReported.get(server)) {
          counts.suppressed++;
          return;
        }
        counts.published++;
        const name = `sight:${server}`;
        const body: Sighting = { server, born: server, by: deps.self };
        deps.purge.publish({ name, mark: [(deps.shelf.mark(name)?.[0] ?? 0) + 1, Dice.int(deps.chance, 1e6)], body });
      },
      counts: () => ({ ...counts }),
    };
  },
};
