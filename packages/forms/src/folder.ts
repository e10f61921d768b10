/**
 * The few file operations that a disk is built of, so that the same disk code runs on a real folder and on a simulated
 * one.
 * Invariants: what was written lasts once `sync` of that file is done; a name given, changed or taken away lasts once
 * `settle` is done; before that a stop of the machine may undo it, alone or with others. Each throws on failure.
 */
export type Folder = {
  list(): Promise<string[]>;
  read(name: string): Promise<string>;
  write(name: string, text: string): Promise<void>;
  sync(name: string): Promise<void>;
  rename(from: string, to: string): Promise<void>;
  remove(name: string): Promise<void>;
  settle(): Promise<void>;
};
