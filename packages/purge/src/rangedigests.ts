import { Hash, VersionOrder, type Doc, type VersionStamp } from '@pumicebarrow/forms';

const RANGE_COUNT = 8;
const rangeOf = (name: string): number => Hash.uint32(name) % RANGE_COUNT;

/** Digests over ranges of record names, by which two record stores are compared without sending their content. */
export const RangeDigests = {
  COUNT: RANGE_COUNT,
  /** The digest of each range. */
  digests(records: ReadonlyMap<string, Doc>): string[] {
    const ranges: string[][] = Array.from({ length: RANGE_COUNT }, () => []);
    for (const doc of records.values()) ranges[rangeOf(doc.name)]!.push(`${doc.name} ${doc.mark.join(' ')}`);
    return ranges.map((range) => Hash.ofText(range.sort().join('\n')));
  },
  /** Our records in the ranges whose digest differs from the peer's. */
  differing(records: ReadonlyMap<string, Doc>, peerDigests: readonly string[]): { name: string; mark: VersionStamp }[] {
    const digests = RangeDigests.digests(records);
    return [...records.values()]
      .filter((doc) => digests[rangeOf(doc.name)] !== peerDigests[rangeOf(doc.name)])
      .map((doc) => ({ name: doc.name, mark: doc.mark }));
  },
  /** `want`: the peer's records that are newer than ours; `give`: our records that the peer lacks or holds older. */
  reconcile(
    records: ReadonlyMap<string, Doc>,
    peerRecords: readonly { name: string; mark: VersionStamp }[],
    peerDigests: readonly string[],
  ) {
    const peerStamps = new Map(peerRecords.map((record) => [record.name, record.mark]));
    const want = peerRecords
      .filter((record) => VersionOrder.isNewer(record.mark, records.get(record.name)?.mark))
      .map((record) => record.name);
    const give = RangeDigests.differing(records, peerDigests)
      .filter((record) => VersionOrder.isNewer(record.mark, peerStamps.get(record.name)))
      .map((record) => record.name);
    return { want, give };
  },
};
