import { Intents, type Charter, type Doc } from '@pumicebarrow/forms';
import type { Holding } from '@pumicebarrow/purge';
import type { CharterBody, Mix, SheetRow, Sighting } from '@pumicebarrow/registry';

type Rows = ReadonlyMap<string, { row: SheetRow; stamp: Doc['mark'] }>;

/**
 * Typed view of the records that gossip brings: configuration, stage assignments, prefill target, failure reports.
 * Invariant: assignments are parsed anew only after the store's table has been replaced.
 */
export const Sheet = {
  make(recordStore: Holding) {
    let parsedTable: ReadonlyMap<string, Doc> | null = null;
    let rows: Rows = new Map();
    const bodyOf = <T>(name: string): T | null => (recordStore.get(name)?.body as T | undefined) ?? null;
    return {
      charter: (): Charter | null => Intents.charter(bodyOf<CharterBody>('charter')?.charter),
      /** Version of the configuration; 0 if there is none. */
      version: (): number => recordStore.mark('charter')?.[0] ?? 0,
      /** Version stamp of a record. */
      stamp: (name: string): Doc['mark'] | null => recordStore.mark(name),
      /** Target number of prefill servers. */
      mix: (): Mix | null => bodyOf<Mix>('mix'),
      failureReport: (server: string): Sighting | null => bodyOf<Sighting>(`sight:${server}`),
      /** Stage assignments by server. */
      rows(): Rows {
        const table = recordStore.table();
        if (table !== parsedTable) {
          parsedTable = table;
          rows = new Map(
            [...table.values()]
              .filter((d) => d.name.startsWith('row:'))
              .map((d) => [(d.body as SheetRow).server, { row: d.body as SheetRow, stamp: d.mark }]),
          );
        }
        return rows;
      },
    };
  },
};
