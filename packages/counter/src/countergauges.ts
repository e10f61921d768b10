import type { Metrics } from '@pumicebarrow/forms';
import type { CounterDaemon } from './counterdaemon.js';

/** Gauges of a counter daemon, read when the metrics are scraped. */
export const CounterGauges = {
  make(metrics: Metrics, daemon: CounterDaemon, mono: () => number): void {
    let configuredAt = mono();
    daemon.recordStore.onChange((doc) => {
      if (doc.name === 'charter') configuredAt = mono();
    });
    const tally = (list: readonly string[]): Record<string, number> => {
      const counts: Record<string, number> = {};
      for (const key of list) counts[key] = (counts[key] ?? 0) + 1;
      return counts;
    };
    metrics.gauge('serving', '1 while this daemon lets requests in', () =>
      daemon.lifecycleState() === 'serving' ? 1 : 0,
    );
    metrics.gauge('charter_version', 'the charter held; none while it can not tell', () => daemon.version());
    metrics.gauge('charter_age_seconds', 'since this charter was taken in', () => (mono() - configuredAt) / 1000);
    metrics.gauge('list_age_seconds', "the age of the platform's list", () => daemon.inventory.age() / 1000);
    metrics.gauge('visits_waiting', 'requests in the queues', () => daemon.queuedTotal());
    metrics.gauge('visits_under_way', 'requests past their turn', () => daemon.inFlight());
    metrics.gauge('ledger_rows', 'requests recorded here for others', () => daemon.ledger.size());
    metrics.gauge('claims_held', 'duties of this daemon', () => daemon.duty.names().length);
    metrics.gauge('extra_tries_left', 'extra tries saved up', () => daemon.retryTokens());
    metrics.labeledGauge('servers', 'rows of the casting sheet, by stage', 'stage', () =>
      tally([...daemon.sheet.assignments().values()].map((r) => r.assignment.stage)),
    );
    metrics.labeledGauge('purge', 'what gossip has done since the start', 'what', () => daemon.purge.counters());
  },
};
