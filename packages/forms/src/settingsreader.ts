import { access, constants, mkdir, readFile } from 'node:fs/promises';
import type { Static, TSchema } from 'typebox';
import { Check } from './check.js';
import { Err } from './err.js';
import type { Fault } from './fault.js';
import { Ok } from './ok.js';
import type { Result } from './result.js';

/** Reads a daemon's settings from a file with flags laid over it, and checks it before any port is opened. */
export const SettingsReader = {
  async read<S extends TSchema>(
    form: S,
    path: string | undefined,
    flags: Record<string, unknown>,
  ): Promise<Result<NoInfer<Static<S>>, Fault[]>> {
    let base: unknown = {};
    if (path !== undefined) {
      try {
        base = JSON.parse(await readFile(path, 'utf8'));
      } catch (e) {
        return Err([{ path, why: `can't be read: ${e instanceof Error ? e.message : String(e)}` }]);
      }
      if (typeof base !== 'object' || base === null || Array.isArray(base))
        return Err([{ path, why: 'must hold one JSON object' }]);
    }
    const all = {
      ...(base as object),
      ...Object.fromEntries(Object.entries(flags).filter(([, v]) => v !== undefined)),
    };
    const got = Check.parse(form, all);
    if (got.err) return got;
    const ports = SettingsReader.ports(got.val);
    return ports.length > 0 ? Err(ports) : got;
  },
  /** A port is a number up to 65535, an IPv4 number's parts go up to 255: more than a pattern tells. */
  ports(v: unknown, at = ''): Fault[] {
    if (typeof v === 'string' && /^(\d{1,3}(\.\d{1,3}){3}|\[.*\]):\d{1,5}$/.test(v)) {
      const port = Number(v.slice(v.lastIndexOf(':') + 1));
      const host = v.slice(0, v.lastIndexOf(':'));
      const good = port > 0 && port < 65536 && (host.startsWith('[') || host.split('.').every((x) => Number(x) < 256));
      return good ? [] : [{ path: at, why: 'is no IP number and port' }];
    }
    if (typeof v !== 'object' || v === null) return [];
    return Object.entries(v).flatMap(([k, x]) => SettingsReader.ports(x, `${at}/${k}`));
  },
  async folder(dir: string): Promise<Result<void, Fault[]>> {
    try {
      await mkdir(dir, { recursive: true });
      await access(dir, constants.W_OK);
      return Ok(undefined);
    } catch (e) {
      return Err([{ path: '/data', why: `can't be written: ${e instanceof Error ? e.message : String(e)}` }]);
    }
  },
};
