import type { Arrival } from './arrival.js';

/** The latest arrivals of record versions at one daemon, oldest first. Invariant: at most `maxEntries` are kept. */
export const ArrivalLog = {
  make(maxEntries: number) {
    let entries: readonly Arrival[] = [];
    return {
      add(arrival: Arrival): void {
        entries = [...entries.slice(-(maxEntries - 1)), arrival];
      },
      all: (): readonly Arrival[] => entries,
      /** The arrivals of one record. */
      byName: (name: string): readonly Arrival[] => entries.filter((arrival) => arrival.name === name),
    };
  },
};
