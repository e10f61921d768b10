import type { HistoryEvent } from '@pumicebarrow/forms';
import type { Benching } from './benching.js';

/** What a script over the core alone works with. */
export type Scripter = {
  b: Benching;
  nap(ms: number): Promise<void>;
  now(): number;
  note(what: string, more: Record<string, unknown>): void;
  /** Waits, a tenth of a millisecond at a time, until something is so; false when it takes too long. */
  until(fn: () => boolean, ms: number): Promise<boolean>;
  /** Does something again and again while time runs; later ones don't wait for earlier ones. */
  spray(ms: number, every: number, fn: () => void): Promise<void>;
  deeds(): readonly HistoryEvent[];
  /** One plan against the newest charter; its name, or null when it was not stored. */
  plan(): Promise<string | null>;
  /** True when the core says that the plan is confirmed. */
  confirm(id: string): Promise<boolean>;
  /** n operators plan against one base, then all confirm at once. */
  change(n: number): Promise<void>;
  read(): Promise<void>;
  lease(name: string, by: string): Promise<void>;
  /** Stops a core's machine, and starts it again after ms. */
  down(id: string, ms: number, meanwhile?: () => void): void;
  /** Waits until all three are up, in the chain and voting; false when it takes too long. */
  healed(): Promise<boolean>;
};
