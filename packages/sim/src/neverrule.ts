import type { HistoryEvent } from '@pumicebarrow/forms';
import type { History } from './history.js';

/** One of the brief's nevers, as a judge of a whole run. `worst` is the worst figure seen, in words. */
export type NeverRule = {
  name: string;
  never: string;
  judge(h: ReturnType<typeof History.make>): {
    checked: number;
    broken: { at: number; why: string; deeds: HistoryEvent[] }[];
    worst: string;
  };
};
