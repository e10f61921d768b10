import { Intents, type Charter, type Doc } from '@pumicebarrow/forms';
import type { Holding } from '@pumicebarrow/purge';
import type { CharterBody, Mix, SheetRow, Sighting } from '@pumicebarrow/registry';

type Rows = ReadonlyMap<string, { row: SheetRow; mark: Doc['mark'] }>;

/** What a shelf says of charter and casting. Invariant: rows are read anew only when the shelf's table was swapped. */
export const Sheet = {
  make(shelf: Holding) {
    let seen: ReadonlyMap<string, Doc> | null = null;
    let rows: Rows = new Map();
    const body = <T>(name: string): T | null => (shelf.get(name)?.body as T | undefined) ?? null;
    return {
      charter: (): Charter | null => Intents.charter(body<CharterBody>('charter')?.charter),
      version: (): number => shelf.mark('charter')?.[0] ?? 0,
      mark: (name: string): Doc['mark'] | null => shelf.mark(name),
      mix: (): Mix | null => body<Mix>('mix'),
      sight: (server: string): Sighting | null => body<Sighting>(`sight:${server}`),
      rows(): Rows {
        const table = shelf.table();
        if (table !== seen) {
          seen = table;
          rows = new Map(
            [...table.values()]
              .filter((d) => d.name.startsWith('row:'))
              .map((d) => [(d.body as SheetRow).server, { row: d.body as SheetRow, mark: d.mark }]),
          );
        }
        return rows;
      },
    };
  },
};
