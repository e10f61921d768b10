import { SettingsReader, Verdicts } from '@pumicebarrow/forms';
import { Fleet } from './fleet/fleet.js';

type Body = Record<string, unknown> | null;
type Flags = { at?: string[] | undefined; daemon?: string[] | undefined };
type Asked = Parameters<(typeof Fleet)['with']>[1];
const HOME = '127.0.0.1:8101';
const IP = /^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/;
const env = (name: string): string[] => (process.env[name] ?? '').split(/[ ,]+/).filter((a) => a !== '');

/**
 * Whom clerk asks: a daemon that serves control over HTTP, or a routed fleet over the daemons' own wire.
 * Invariant: a flag goes before the environment, and a fleet's own wire before HTTP.
 */
export const Where = {
  async ask(
    flags: Flags,
    http: ((at: readonly string[]) => Promise<{ body: Body }>) | null,
    wire: Asked | null,
  ): Promise<Body> {
    const wires = flags.daemon ?? (flags.at ? [] : env('PUMICEBARROW_DAEMONS'));
    if (wires.length === 0) {
      if (!http) return { verdict: Verdicts.bad([{ path: '--daemon', why: 'is needed, or PUMICEBARROW_DAEMONS' }]) };
      const given = flags.at ?? env('PUMICEBARROW_AT');
      return (await http(given.length > 0 ? given : [HOME])).body;
    }
    if (!wire)
      return {
        verdict: Verdicts.bad([{ path: '--at', why: 'is needed: routers and control replicas do not know this' }]),
      };
    const faults = wires
      .filter((a) => !IP.test(a) || SettingsReader.ports(a).length > 0)
      .map((a) => ({ path: a, why: 'is no IP number and port' }));
    return faults.length > 0 ? { verdict: Verdicts.bad(faults) } : Fleet.with(wires, wire);
  },
};
