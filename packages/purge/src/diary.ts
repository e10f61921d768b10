import type { Step } from './step.js';

/** The last steps seen by one daemon, oldest first. Invariant: never more than `size`. */
export const Diary = {
  make(size: number) {
    let list: readonly Step[] = [];
    return {
      add(s: Step): void {
        list = [...list.slice(-(size - 1)), s];
      },
      all: (): readonly Step[] => list,
      of: (name: string): readonly Step[] => list.filter((s) => s.name === name),
    };
  },
};
