import { SettingsReader, Verdicts } from '@pumicebarrow/forms';
import { Fleet } from './fleet/fleet.js';

type Body = Record<string, unknown> | null;
type Flags = { at?: string[] | undefined; daemon?: string[] | undefined };
type FleetOperation = Parameters<(typeof Fleet)['run']>[1];
const DEFAULT_OPERATOR_ADDRESS = '127.0.0.1:8101';
const IP_AND_PORT = /^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/;
const addressesFromEnv = (name: string): string[] => (process.env[name] ?? '').split(/[ ,]+/).filter((a) => a !== '');

/**
 * Sends a command either to a daemon that serves the operator API over HTTP, or to a routed fleet over the daemon
 * protocol. Invariant: a flag takes precedence over the environment, and the daemon protocol over HTTP.
 */
export const CommandTransport = {
  async request(
    flags: Flags,
    httpRequest: ((at: readonly string[]) => Promise<{ body: Body }>) | null,
    fleetOperation: FleetOperation | null,
  ): Promise<Body> {
    const daemonAddresses = flags.daemon ?? (flags.at ? [] : addressesFromEnv('PUMICEBARROW_DAEMONS'));
    if (daemonAddresses.length === 0) {
      if (!httpRequest)
        return { verdict: Verdicts.invalid([{ path: '--daemon', why: 'is needed, or PUMICEBARROW_DAEMONS' }]) };
      const operatorAddresses = flags.at ?? addressesFromEnv('PUMICEBARROW_AT');
      return (await httpRequest(operatorAddresses.length > 0 ? operatorAddresses : [DEFAULT_OPERATOR_ADDRESS])).body;
    }
    if (!fleetOperation)
      return {
        verdict: Verdicts.invalid([
          { path: '--at', why: 'is needed: routers and control replicas do not support this' },
        ]),
      };
    const faults = daemonAddresses
      .filter((a) => !IP_AND_PORT.test(a) || SettingsReader.addressFaults(a).length > 0)
      .map((a) => ({ path: a, why: 'is no IP number and port' }));
    return faults.length > 0 ? { verdict: Verdicts.invalid(faults) } : Fleet.run(daemonAddresses, fleetOperation);
  },
};
