import { Random, ExpiringMap, type Clock, type RandomSource } from '@pumicebarrow/forms';
import type { RecordStore, GossipNode } from '@pumicebarrow/purge';
import type { FailureReport } from '@pumicebarrow/registry';

type Dependencies = {
  clock: Clock;
  random: RandomSource;
  store: RecordStore;
  gossip: Pick<GossipNode, 'publish'>;
  self: string;
};
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
export const FailureReports = {
  make(deps: Dependencies) {
    const recentlyReported = ExpiringMap.make<true>(deps.clock.mono, MAX_TRACKED_SERVERS);
    const counts = { published: 0, suppressed: 0 };
    deps.store.onChange((doc) => {
      if (doc.name.startsWith('sight:'))
        recentlyReported.set((doc.body as FailureReport).server, true, REPORT_VALID_MS);
    });
    return {
      report(server: string): void {
        if (recentlyReported.get(server)) {
          counts.suppressed++;
          return;
        }
        counts.published++;
        const name = `sight:${server}`;
        const body: FailureReport = { server, born: server, by: deps.self };
        deps.gossip.publish({
          name,
          mark: [(deps.store.stamp(name)?.[0] ?? 0) + 1, Random.int(deps.random, 1e6)],
          body,
        });
      },
      counts: () => ({ ...counts }),
    };
  },
};
