import type { Benching } from './benching.js';

/** What a script over the core alone works with. */
export type Scripter = {
  b: Benching;
  nap(ms: number): Promise<void>;
  now(): number;
  note(what: string, more: Record<string, unknown>): void;
  /** n operators plan against one base, then all confirm at once. */
  change(n: number): Promise<void>;
  read(): Promise<void>;
  claim(name: string, by: string): Promise<void>;
  /** Stops a core's machine, and starts it again after ms. */
  down(id: string, ms: number, meanwhile?: () => void): void;
  /** Waits until all three are up, in the chain and voting; false when it takes too long. */
  healed(): Promise<boolean>;
};
