import { Hash, Order, type Doc, type Mark } from '@pumicebarrow/forms';

const RANGE_COUNT = 8;
const rangeOf = (name: string): number => Hash.num(name) % RANGE_COUNT;

/** Digests over ranges of record names, by which two record stores are compared without sending their content. */
export const Ranges = {
  count: RANGE_COUNT,
  /** The digest of each range. */
  sums(records: ReadonlyMap<string, Doc>): string[] {
    const ranges: string[][] = Array.from({ length: RANGE_COUNT }, () => []);
    for (const doc of records.values()) ranges[rangeOf(doc.name)]!.push(`${doc.name} ${doc.mark.join(' ')}`);
    return ranges.map((range) => Hash.text(range.sort().join('\n')));
  },
  /** Our records in the ranges whose digest differs from the peer's. */
  unlike(records: ReadonlyMap<string, Doc>, peerDigests: readonly string[]): { name: string; mark: Mark }[] {
    const digests = Ranges.sums(records);
    return [...records.values()]
      .filter((doc) => digests[rangeOf(doc.name)] !== peerDigests[rangeOf(doc.name)])
      .map((doc) => ({ name: doc.name, mark: doc.mark }));
  },
  /** `want`: the peer's records that are newer than ours; `give`: our records that the peer lacks or holds older. */
  reconcile(
    records: ReadonlyMap<string, Doc>,
    peerRecords: readonly { name: string; mark: Mark }[],
    peerDigests: readonly string[],
  ) {
    const peerStamps = new Map(peerRecords.map((record) => [record.name, record.mark]));
    const want = peerRecords
      .filter((record) => Order.newer(record.mark, records.get(record.name)?.mark))
      .map((record) => record.name);
    const give = Ranges.unlike(records, peerDigests)
      .filter((record) => Order.newer(record.mark, peerStamps.get(record.name)))
      .map((record) => record.name);
    return { want, give };
  },
};
