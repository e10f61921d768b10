import type { Metering } from '@pumicebarrow/forms';
import type { Counting } from './counting.js';

/** Gauges of a counter daemon, read when the metrics are scraped. */
export const Gauges = {
  make(metrics: Metering, daemon: Counting, mono: () => number): void {
    let configuredAt = mono();
    daemon.shelf.heed((doc) => {
      if (doc.name === 'charter') configuredAt = mono();
    });
    const tally = (list: readonly string[]): Record<string, number> => {
      const counts: Record<string, number> = {};
      for (const key of list) counts[key] = (counts[key] ?? 0) + 1;
      return counts;
    };
    metrics.level('serving', '1 while this daemon accepts requests', () => (daemon.life() === 'serving' ? 1 : 0));
    metrics.level(
      'charter_version',
      'version of the configuration held; absent while it is not known to be current',
      () => daemon.version(),
    );
    metrics.level(
      'charter_age_seconds',
      'time since this configuration was received',
      () => (mono() - configuredAt) / 1000,
    );
    metrics.level('list_age_seconds', "age of the platform's list of servers", () => daemon.watch.age() / 1000);
    metrics.level('visits_waiting', 'requests queued for admission', () => daemon.waiting());
    metrics.level('visits_under_way', 'admitted requests in flight', () => daemon.under());
    metrics.level('ledger_rows', 'requests recorded here on behalf of other daemons', () => daemon.ledger.size());
    metrics.level('claims_held', 'named leases held by this daemon', () => daemon.duty.names().length);
    metrics.level('extra_tries_left', 'tokens left in the retry budget', () => daemon.level());
    metrics.levels('servers', 'stage assignments, by state', 'stage', () =>
      tally([...daemon.sheet.rows().values()].map((r) => r.row.stage)),
    );
    metrics.levels('purge', 'gossip events since the start', 'what', () => daemon.purge.count());
  },
};
