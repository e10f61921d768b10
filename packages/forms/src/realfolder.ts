import { mkdir, open, readFile, readdir, rename, rm, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import type { Folder } from './folder.js';

const fsync = async (path: string): Promise<void> => {
  const handle = await open(path, 'r');
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
};

/** A folder of the real file system. */
export const RealFolder = {
  async make(dir: string): Promise<Folder> {
    await mkdir(dir, { recursive: true });
    return {
      list: () => readdir(dir),
      read: (name) => readFile(join(dir, name), 'utf8'),
      write: (name, text) => writeFile(join(dir, name), text),
      syncFile: (name) => fsync(join(dir, name)),
      rename: (from, to) => rename(join(dir, from), join(dir, to)),
      remove: (name) => rm(join(dir, name), { force: true }),
      syncFolder: () => fsync(dir),
    };
  },
};
