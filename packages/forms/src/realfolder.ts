import { mkdir, open, readFile, readdir, rename, rm, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import type { Folder } from './folder.js';

const sync = async (path: string): Promise<void> => {
  const f = await open(path, 'r');
  try {
    await f.sync();
  } finally {
    await f.close();
  }
};

/** A folder on a real disk. */
export const RealFolder = {
  async make(dir: string): Promise<Folder> {
    await mkdir(dir, { recursive: true });
    return {
      list: () => readdir(dir),
      read: (name) => readFile(join(dir, name), 'utf8'),
      write: (name, text) => writeFile(join(dir, name), text),
      sync: (name) => sync(join(dir, name)),
      rename: (from, to) => rename(join(dir, from), join(dir, to)),
      remove: (name) => rm(join(dir, name), { force: true }),
      settle: () => sync(dir),
    };
  },
};
