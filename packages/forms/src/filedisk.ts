import { mkdir, open, readFile, readdir, rename, rm } from 'node:fs/promises';
import { join } from 'node:path';
import type { Disk } from './disk.js';
import { Err } from './err.js';
import { Hash } from './hash.js';
import { Ok } from './ok.js';

const KEEP = 2;
const sync = async (path: string): Promise<void> => {
  const f = await open(path, 'r');
  try { await f.sync(); } finally { await f.close(); }
};
const tell = (e: unknown): string => (e instanceof Error ? e.message : String(e));

/** A data folder on a real disk: one file a version, written aside, synced, renamed, and the folder synced. */
export const FileDisk = {
  async make(dir: string): Promise<Disk> {
    await mkdir(dir, { recursive: true });
    const numbers = async (kind: string): Promise<number[]> =>
      (await readdir(dir)).flatMap((f) => {
        const m = /^([a-z]+)\.(\d+)\.json$/.exec(f);
        return m && m[1] === kind ? [Number(m[2])] : [];
      }).sort((a, b) => b - a);
    return {
      async put(kind, n, v) {
        const path = join(dir, `${kind}.${n}.json`);
        try {
          const text = JSON.stringify(v);
          const f = await open(`${path}.tmp`, 'w');
          try {
            await f.writeFile(JSON.stringify({ sum: Hash.text(text), text }));
            await f.sync();
          } finally { await f.close(); }
          await rename(`${path}.tmp`, path);
          await sync(dir);
          for (const old of (await numbers(kind)).filter((x) => x <= n - KEEP)) await rm(join(dir, `${kind}.${old}.json`), { force: true });
          return Ok(undefined);
        } catch (e) {
          return Err(tell(e));
        }
      },
      async last(kind) {
        try {
          let bad = false;
          for (const n of await numbers(kind)) {
            const path = join(dir, `${kind}.${n}.json`);
            try {
              const { sum, text } = JSON.parse(await readFile(path, 'utf8')) as { sum: string; text: string };
              if (Hash.text(text) === sum) return Ok({ n, v: JSON.parse(text) as unknown, bad });
            } catch { /* falls through to setting it aside */ }
            bad = true;
            await rename(path, `${path}.bad`);
          }
          return Ok(bad ? { n: 0, v: null, bad } : null);
        } catch (e) {
          return Err(tell(e));
        }
      },
      async aside() {
        try {
          const files = (await readdir(dir)).filter((f) => f.includes('.json'));
          const to = join(dir, `aside-${Date.now()}`);
          await mkdir(to);
          for (const f of files) await rename(join(dir, f), join(to, f));
          await sync(dir);
          return Ok(undefined);
        } catch (e) {
          return Err(tell(e));
        }
      },
    };
  },
};
