import type { Result } from './result.js';

/**
 * Durable storage of versioned values in the daemon's data folder, one file per version.
 * Invariant: once `put` has succeeded, the version survives any stop of the machine short of the loss of the disk.
 */
export type Disk = {
  /** Stores one version of the value of a kind. */
  put(kind: string, version: number, value: unknown): Promise<Result<void, string>>;
  /**
   * The newest intact version `n` of a kind with its value `v`; null if the kind has no file. `bad` is set if a newer
   * file is damaged; if all files are damaged, `v` is null. Reading changes nothing on disk.
   */
  latest(kind: string): Promise<Result<{ n: number; v: unknown; bad: boolean } | null, string>>;
  /** Renames all current files out of the way of later versions, starting with those that identify the owner. */
  setAside(): Promise<Result<void, string>>;
};
