import { Configurations, type FleetConfiguration, type Doc } from '@pumicebarrow/forms';
import type { RecordStore } from '@pumicebarrow/purge';
import type { ConfigurationBody, PrefillTarget, StageAssignment, FailureReport } from '@pumicebarrow/registry';

type Rows = ReadonlyMap<string, { assignment: StageAssignment; stamp: Doc['mark'] }>;

/**
 * Typed view of the records that gossip brings: configuration, stage assignments, prefill target, failure reports.
 * Invariant: assignments are parsed anew only after the store's table has been replaced.
 */
export const FleetRecords = {
  make(recordStore: RecordStore) {
    let parsedTable: ReadonlyMap<string, Doc> | null = null;
    let rows: Rows = new Map();
    const bodyOf = <T>(name: string): T | null => (recordStore.get(name)?.body as T | undefined) ?? null;
    return {
      configuration: (): FleetConfiguration | null =>
        Configurations.asFleet(bodyOf<ConfigurationBody>('charter')?.charter),
      /** Version of the configuration; 0 if there is none. */
      version: (): number => recordStore.stamp('charter')?.[0] ?? 0,
      /** Version stamp of a record. */
      stamp: (name: string): Doc['mark'] | null => recordStore.stamp(name),
      /** Target number of prefill servers. */
      mix: (): PrefillTarget | null => bodyOf<PrefillTarget>('mix'),
      failureReport: (server: string): FailureReport | null => bodyOf<FailureReport>(`sight:${server}`),
      /** Stage assignments by server. */
      assignments(): Rows {
        const table = recordStore.records();
        if (table !== parsedTable) {
          parsedTable = table;
          rows = new Map(
            [...table.values()]
              .filter((d) => d.name.startsWith('row:'))
              .map((d) => [
                (d.body as StageAssignment).server,
                { assignment: d.body as StageAssignment, stamp: d.mark },
              ]),
          );
        }
        return rows;
      },
    };
  },
};
