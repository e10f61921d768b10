import { Hash, Order, type Doc, type Mark } from '@pumicebarrow/forms';

type Table = ReadonlyMap<string, Doc>;
type Ear = (doc: Doc, old: Doc | null) => void;

/**
 * The copies a daemon holds. Invariants: the table is never changed, only swapped whole;
 * for each name the mark only rises, for as long as the daemon lives.
 */
export const Shelf = {
  make(sound: (doc: Doc) => boolean) {
    let table: Table = new Map();
    let sum = Hash.text('');
    const ears: Ear[] = [];
    return {
      table: (): Table => table,
      get: (name: string): Doc | null => table.get(name) ?? null,
      mark: (name: string): Mark | null => table.get(name)?.mark ?? null,
      sum: (): string => sum,
      heed(fn: Ear): void {
        ears.push(fn);
      },
      /** Takes the version if it is newer than the one held and sound. */
      offer(doc: Doc): boolean {
        const old = table.get(doc.name) ?? null;
        if (old && !Order.newer(doc.mark, old.mark)) return false;
        if (!sound(doc)) return false;
        const next = new Map(table);
        next.set(doc.name, Object.freeze(doc));
        table = next;
        sum = Hash.of([...next.values()].map((d) => [d.name, ...d.mark].join(' ')).sort());
        for (const fn of ears) fn(doc, old);
        return true;
      },
    };
  },
};
