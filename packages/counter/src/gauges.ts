import type { Metering } from '@pumicebarrow/forms';
import type { Counting } from './counting.js';

/** How a counter daemon stands, read when it is asked for. */
export const Gauges = {
  make(meters: Metering, d: Counting, mono: () => number): void {
    let since = mono();
    d.shelf.heed((doc) => {
      if (doc.name === 'charter') since = mono();
    });
    const tally = (list: readonly string[]): Record<string, number> => {
      const out: Record<string, number> = {};
      for (const k of list) out[k] = (out[k] ?? 0) + 1;
      return out;
    };
    meters.level('serving', '1 while this daemon lets requests in', () => (d.life() === 'serving' ? 1 : 0));
    meters.level('charter_version', 'the charter held; none while it can not tell', () => d.version());
    meters.level('charter_age_seconds', 'since this charter was taken in', () => (mono() - since) / 1000);
    meters.level('list_age_seconds', "the age of the platform's list", () => d.watch.age() / 1000);
    meters.level('visits_waiting', 'requests in the queues', () => d.waiting());
    meters.level('visits_under_way', 'requests past their turn', () => d.under());
    meters.level('ledger_rows', 'requests recorded here for others', () => d.ledger.size());
    meters.level('claims_held', 'duties of this daemon', () => d.duty.names().length);
    meters.level('extra_tries_left', 'extra tries saved up', () => d.level());
    meters.levels('servers', 'rows of the casting sheet, by stage', 'stage', () =>
      tally([...d.sheet.rows().values()].map((r) => r.row.stage)),
    );
    meters.levels('purge', 'what gossip has done since the start', 'what', () => d.purge.count());
  },
};
