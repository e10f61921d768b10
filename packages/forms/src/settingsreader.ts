import { access, constants, mkdir, readFile } from 'node:fs/promises';
import type { Static, TSchema } from 'typebox';
import { SchemaCheck } from './schemacheck.js';
import { Err } from './err.js';
import type { Fault } from './fault.js';
import { Ok } from './ok.js';
import type { Result } from './result.js';

/** Reads and validates a daemon's settings before any port is opened. */
export const SettingsReader = {
  /** Reads the settings from a file, overridden by flags. */
  async read<S extends TSchema>(
    schema: S,
    path: string | undefined,
    flags: Record<string, unknown>,
  ): Promise<Result<NoInfer<Static<S>>, Fault[]>> {
    let fromFile: unknown = {};
    if (path !== undefined) {
      try {
        fromFile = JSON.parse(await readFile(path, 'utf8'));
      } catch (e) {
        return Err([{ path, why: `can't be read: ${e instanceof Error ? e.message : String(e)}` }]);
      }
      if (typeof fromFile !== 'object' || fromFile === null || Array.isArray(fromFile))
        return Err([{ path, why: 'must hold one JSON object' }]);
    }
    const merged = {
      ...(fromFile as object),
      ...Object.fromEntries(Object.entries(flags).filter(([, v]) => v !== undefined)),
    };
    const parsed = SchemaCheck.parse(schema, merged);
    if (parsed.err) return parsed;
    const faults = SettingsReader.addressFaults(parsed.val);
    return faults.length > 0 ? Err(faults) : parsed;
  },
  /** Checks the ranges that a pattern cannot: ports up to 65535, the parts of IPv4 addresses up to 255. */
  addressFaults(v: unknown, path = ''): Fault[] {
    if (typeof v === 'string' && /^(\d{1,3}(\.\d{1,3}){3}|\[.*\]):\d{1,5}$/.test(v)) {
      const port = Number(v.slice(v.lastIndexOf(':') + 1));
      const host = v.slice(0, v.lastIndexOf(':'));
      const valid =
        port > 0 && port < 65536 && (host.startsWith('[') || host.split('.').every((part) => Number(part) < 256));
      return valid ? [] : [{ path, why: 'is not a valid IP address and port' }];
    }
    if (typeof v !== 'object' || v === null) return [];
    return Object.entries(v).flatMap(([key, item]) => SettingsReader.addressFaults(item, `${path}/${key}`));
  },
  /** Creates the data folder if needed and checks that it can be written. */
  async ensureFolder(dir: string): Promise<Result<void, Fault[]>> {
    try {
      await mkdir(dir, { recursive: true });
      await access(dir, constants.W_OK);
      return Ok(undefined);
    } catch (e) {
      return Err([{ path: '/data', why: `can't be written: ${e instanceof Error ? e.message : String(e)}` }]);
    }
  },
};
