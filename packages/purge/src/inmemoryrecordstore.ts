import { Hash, VersionOrder, type Doc, type VersionStamp } from '@pumicebarrow/forms';

type Records = ReadonlyMap<string, Doc>;
type Listener = (doc: Doc, old: Doc | null) => void;

/**
 * The shared records that a daemon holds, in memory. Invariants: the map of records is never modified, only replaced;
 * the version stamp of a record only rises for as long as the daemon lives.
 */
export const InMemoryRecordStore = {
  make(isValid: (doc: Doc) => boolean) {
    let records: Records = new Map();
    let digest = Hash.ofText('');
    const listeners: Listener[] = [];
    return {
      records: (): Records => records,
      get: (name: string): Doc | null => records.get(name) ?? null,
      /** The version stamp of a record; null if it is not held. */
      stamp: (name: string): VersionStamp | null => records.get(name)?.mark ?? null,
      /** A digest of the names and version stamps of all records. */
      digest: (): string => digest,
      /** Registers a listener that is called with each new version and the version before it. */
      onChange(fn: Listener): void {
        listeners.push(fn);
      },
      /** Stores the version if it is valid and newer than the one held. Returns whether it was stored. */
      offer(doc: Doc): boolean {
        const old = records.get(doc.name) ?? null;
        if (old && !VersionOrder.isNewer(doc.mark, old.mark)) return false;
        if (!isValid(doc)) return false;
        const next = new Map(records);
        next.set(doc.name, Object.freeze(doc));
        records = next;
        digest = Hash.ofValue([...next.values()].map((d) => [d.name, ...d.mark].join(' ')).sort());
        for (const fn of listeners) fn(doc, old);
        return true;
      },
    };
  },
};
