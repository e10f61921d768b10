import { Hash, Order, type Doc, type Mark } from '@pumicebarrow/forms';

const COUNT = 8;
const slot = (name: string): number => Hash.num(name) % COUNT;

/** Digests over ranges of names, so that two shelves can be compared without being sent. */
export const Ranges = {
  count: COUNT,
  sums(table: ReadonlyMap<string, Doc>): string[] {
    const rows: string[][] = Array.from({ length: COUNT }, () => []);
    for (const d of table.values()) rows[slot(d.name)]!.push(`${d.name} ${d.mark.join(' ')}`);
    return rows.map((r) => Hash.text(r.sort().join('\n')));
  },
  /** What is held in the ranges where the other's digest is unlike ours. */
  unlike(table: ReadonlyMap<string, Doc>, sums: readonly string[]): { name: string; mark: Mark }[] {
    const mine = Ranges.sums(table);
    return [...table.values()]
      .filter((d) => mine[slot(d.name)] !== sums[slot(d.name)])
      .map((d) => ({ name: d.name, mark: d.mark }));
  },
  /** Of the other's marks, those newer than ours; and our names it lacks or holds older. */
  reconcile(table: ReadonlyMap<string, Doc>, theirs: readonly { name: string; mark: Mark }[], sums: readonly string[]) {
    const got = new Map(theirs.map((t) => [t.name, t.mark]));
    const want = theirs.filter((t) => Order.newer(t.mark, table.get(t.name)?.mark)).map((t) => t.name);
    const give = Ranges.unlike(table, sums)
      .filter((m) => Order.newer(m.mark, got.get(m.name)))
      .map((m) => m.name);
    return { want, give };
  },
};
