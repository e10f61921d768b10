import type { HistoryEvent } from '@pumicebarrow/forms';
import type { Callers } from './callers.js';
import type { Fleeting } from './fleeting.js';
import type { Operators } from './operators.js';
import type { Yardful } from './yardful.js';

/** What a drill's script works with. */
export type Scene = {
  f: Fleeting;
  callers: ReturnType<typeof Callers.make>;
  ops: ReturnType<typeof Operators.make>;
  park: Yardful;
  nap(ms: number): Promise<void>;
  now(): number;
  real(): number;
  note(what: string, more: Record<string, unknown>): void;
  /** What has been told so far. */
  deeds(): readonly HistoryEvent[];
  /**
   * Cuts the links between two groups for ms; only from the first to the second if one way. Servers, 'town' and
   * 'callers' too.
   */
  cut(a: readonly string[], b: readonly string[], ms: number, oneway?: boolean): void;
};
