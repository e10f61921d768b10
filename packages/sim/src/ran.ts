import type { HistoryEvent } from '@pumicebarrow/forms';

/**
 * What came of a run. `broken` is the core's own judgement, null where the nevers judge; `points` counts what was
 * met; `unmet` says which fault was not.
 */
export type Ran = {
  deeds: readonly HistoryEvent[];
  ended: boolean;
  broken: readonly string[] | null;
  points: number;
  unmet: readonly string[];
};
