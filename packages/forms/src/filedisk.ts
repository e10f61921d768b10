import type { Disk } from './disk.js';
import { Err } from './err.js';
import type { Folder } from './folder.js';
import { Hash } from './hash.js';
import { Ok } from './ok.js';
import { RealFolder } from './realfolder.js';
import type { Result } from './result.js';

const KEEP = 2;
/** The kind that says who the owner of the folder is. */
const FIRST = 'self';
const NAME = /^([a-z]+)\.(\d+)\.json$/;
const tell = (e: unknown): string => (e instanceof Error ? e.message : String(e));
const guard = async <T>(job: () => Promise<T>): Promise<Result<T, string>> => {
  try {
    return Ok(await job());
  } catch (e) {
    return Err(tell(e));
  }
};
/** The version that a file holds; null when it is damaged. */
const sound = (text: string): { v: unknown } | null => {
  try {
    const file = JSON.parse(text) as { sum: string; text: string };
    return Hash.text(file.text) === file.sum ? { v: JSON.parse(file.text) as unknown } : null;
  } catch {
    return null;
  }
};

/**
 * A data folder: one file a version, written aside, synced, renamed, and the folder synced.
 * Invariants: looking changes nothing, so a damaged file is found again however often a start is cut short;
 * in a setting aside every file of FIRST has gone for good before any other goes, so a folder that still
 * says who its owner is has all its other files.
 */
export const FileDisk = {
  make: async (dir: string): Promise<Disk> => FileDisk.over(await RealFolder.make(dir)),
  over(folder: Folder): Disk {
    const numbers = async (kind: string): Promise<number[]> =>
      (await folder.list())
        .flatMap((f) => {
          const m = NAME.exec(f);
          return m && m[1] === kind ? [Number(m[2])] : [];
        })
        .sort((a, b) => b - a);
    const read = async (name: string): Promise<{ v: unknown } | null> => sound(await folder.read(name).catch(() => ''));
    /** Room is made once the new version counts; a file that can't be removed costs room and nothing else. */
    const thin = async (kind: string, n: number): Promise<void> => {
      const old = (await numbers(kind)).filter((x) => x <= n - KEEP);
      for (const x of old) await folder.remove(`${kind}.${x}.json`);
    };
    return {
      put: (kind, n, v) =>
        guard(async () => {
          const name = `${kind}.${n}.json`,
            text = JSON.stringify(v);
          await folder.write(`${name}.tmp`, JSON.stringify({ sum: Hash.text(text), text }));
          await folder.sync(`${name}.tmp`);
          await folder.rename(`${name}.tmp`, name);
          await folder.settle();
          await thin(kind, n).catch(() => undefined);
        }),
      last: (kind) =>
        guard(async () => {
          const list = await numbers(kind);
          for (const [i, n] of list.entries()) {
            const got = await read(`${kind}.${n}.json`);
            if (got) return { n, v: got.v, bad: i > 0 };
          }
          return list.length > 0 ? { n: list[0]!, v: null, bad: true } : null;
        }),
      aside: () =>
        guard(async () => {
          const all = await folder.list();
          const turn = 1 + all.reduce((a, f) => Math.max(a, Number(/^aside\.(\d+)\./.exec(f)?.[1] ?? 0)), 0);
          const live = all.filter((f) => !f.startsWith('aside.') && f.includes('.json'));
          const first = live.filter((f) => f.startsWith(`${FIRST}.`));
          for (const list of [first, live.filter((f) => !first.includes(f))]) {
            for (const f of list) await folder.rename(f, `aside.${turn}.${f}`);
            await folder.settle();
          }
        }),
    };
  },
};
