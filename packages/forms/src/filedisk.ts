import type { Disk } from './disk.js';
import { Err } from './err.js';
import type { Folder } from './folder.js';
import { Hash } from './hash.js';
import { Ok } from './ok.js';
import { RealFolder } from './realfolder.js';
import type { Result } from './result.js';

/** Versions of each kind that are kept. */
const KEPT_VERSIONS = 2;
/** The kind that identifies the owner of the folder. */
const OWNER_KIND = 'self';
const FILE_NAME = /^([a-z]+)\.(\d+)\.json$/;
const messageOf = (e: unknown): string => (e instanceof Error ? e.message : String(e));
const toResult = async <T>(operation: () => Promise<T>): Promise<Result<T, string>> => {
  try {
    return Ok(await operation());
  } catch (e) {
    return Err(messageOf(e));
  }
};
/** The value that a file holds; null if the file is damaged. */
const decode = (text: string): { v: unknown } | null => {
  try {
    const file = JSON.parse(text) as { sum: string; text: string };
    return Hash.ofText(file.text) === file.sum ? { v: JSON.parse(file.text) as unknown } : null;
  } catch {
    return null;
  }
};

/**
 * Durable storage in a folder, one file per version. A version is written to a temporary file, which is synced and
 * renamed, and then the folder is synced.
 * Invariants: reading changes nothing, so a damaged file is found again even if a start is interrupted; when files are
 * set aside, the renames of all files of OWNER_KIND are durable before any other file is renamed, so a folder that
 * still identifies its owner has all its other files.
 */
export const FileDisk = {
  make: async (dir: string): Promise<Disk> => FileDisk.onFolder(await RealFolder.make(dir)),
  onFolder(folder: Folder): Disk {
    /** The versions of a kind that have a file, newest first. */
    const versionsOf = async (kind: string): Promise<number[]> =>
      (await folder.list())
        .flatMap((file) => {
          const match = FILE_NAME.exec(file);
          return match && match[1] === kind ? [Number(match[2])] : [];
        })
        .sort((a, b) => b - a);
    const read = async (name: string): Promise<{ v: unknown } | null> =>
      decode(await folder.read(name).catch(() => ''));
    /** Runs once the new version is durable; a file that cannot be removed wastes space and does no other harm. */
    const removeOld = async (kind: string, newest: number): Promise<void> => {
      const old = (await versionsOf(kind)).filter((version) => version <= newest - KEPT_VERSIONS);
      for (const version of old) await folder.remove(`${kind}.${version}.json`);
    };
    return {
      put: (kind, newVersion, value) =>
        toResult(async () => {
          const name = `${kind}.${newVersion}.json`,
            text = JSON.stringify(value);
          await folder.write(`${name}.tmp`, JSON.stringify({ sum: Hash.ofText(text), text }));
          await folder.syncFile(`${name}.tmp`);
          await folder.rename(`${name}.tmp`, name);
          await folder.syncFolder();
          await removeOld(kind, newVersion).catch(() => undefined);
        }),
      latest: (kind) =>
        toResult(async () => {
          const versions = await versionsOf(kind);
          for (const [i, n] of versions.entries()) {
            const file = await read(`${kind}.${n}.json`);
            if (file) return { n, v: file.v, bad: i > 0 };
          }
          return versions.length > 0 ? { n: versions[0]!, v: null, bad: true } : null;
        }),
      setAside: () =>
        toResult(async () => {
          const files = await folder.list();
          const generation = 1 + files.reduce((a, f) => Math.max(a, Number(/^aside\.(\d+)\./.exec(f)?.[1] ?? 0)), 0);
          const current = files.filter((f) => !f.startsWith('aside.') && f.includes('.json'));
          const ownerFiles = current.filter((f) => f.startsWith(`${OWNER_KIND}.`));
          for (const batch of [ownerFiles, current.filter((f) => !ownerFiles.includes(f))]) {
            for (const f of batch) await folder.rename(f, `aside.${generation}.${f}`);
            await folder.syncFolder();
          }
        }),
    };
  },
};
