import type { Result } from './result.js';

/**
 * The data folder. One file a version.
 * Invariant: once put has settled well, the version outlives any stop of the machine short of losing the disk.
 */
export type Disk = {
  put(kind: string, n: number, v: unknown): Promise<Result<void, string>>;
  /** The newest version whole; `bad` when a newer file is damaged. Looking changes nothing. */
  last(kind: string): Promise<Result<{ n: number; v: unknown; bad: boolean } | null, string>>;
  /** Sets every file aside, out of the way of what comes after; those that say who the owner is go first. */
  aside(): Promise<Result<void, string>>;
};
