import type { Arrival } from './step.js';

/** The last steps seen by one daemon, oldest first. Invariant: never more than `size`. */
export const ArrivalLog = {
  make(size: number) {
    let list: readonly Arrival[] = [];
    return {
      add(s: Arrival): void {
        list = [...list.slice(-(size - 1)), s];
      },
      entries: (): readonly Arrival[] => list,
      entriesFor: (name: string): readonly Arrival[] => list.filter((s) => s.name === name),
    };
  },
};
