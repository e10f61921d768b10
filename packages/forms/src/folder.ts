/**
 * The file operations that durable storage is built on, so that the same storage code runs on a real folder and on a
 * simulated one. Each operation rejects on failure.
 * Invariants: the content of a file is durable once `syncFile` of that file is done; the creation, renaming or removal
 * of a file is durable once `syncFolder` is done. Before that a stop of the machine may undo any of these changes,
 * alone or with others.
 */
export type Folder = {
  list(): Promise<string[]>;
  read(name: string): Promise<string>;
  write(name: string, text: string): Promise<void>;
  syncFile(name: string): Promise<void>;
  rename(from: string, to: string): Promise<void>;
  remove(name: string): Promise<void>;
  syncFolder(): Promise<void>;
};
