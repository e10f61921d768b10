import type { Route, Routing, Service } from '@pumicebarrow/forms';
import { TenantDirectory } from './tenantdirectory.js';

type RouteMatch = { route: Route; services: readonly { service: Service; weight: number }[] };
type Host = readonly { prefix: string; found: RouteMatch }[];

/** One routing, made ready for look-ups. Invariant: the prefixes of a host stand longest first, so the first wins. */
export const RouteTable = {
  make(routing: Routing) {
    const services = new Map(routing.services.map((s) => [s.name, s]));
    const hosts = new Map<string, { prefix: string; found: RouteMatch }[]>();
    for (const route of routing.routes) {
      const list = route.split.flatMap((s) => {
        const service = services.get(s.service);
        return service && s.weight > 0 ? [{ service, weight: s.weight }] : [];
      });
      const host = hosts.get(route.host) ?? [];
      host.push({ prefix: route.prefix, found: { route, services: list } });
      hosts.set(route.host, host);
    }
    for (const host of hosts.values()) host.sort((a, b) => b.prefix.length - a.prefix.length);
    const table: ReadonlyMap<string, Host> = hosts;
    return {
      revision: routing.revision,
      limits: routing.limits,
      tenants: TenantDirectory.make(routing.tenants),
      services: (): readonly Service[] => routing.services,
      find(host: string, path: string): RouteMatch | null {
        const plain = path.split('?', 1)[0]!;
        return table.get(host)?.find((p) => plain.startsWith(p.prefix))?.found ?? null;
      },
      /** The service that a request goes to, by a number from 0 up to 1. */
      pickService(found: RouteMatch, chance: number): Service | null {
        const sum = found.services.reduce((n, s) => n + s.weight, 0);
        let left = chance * sum;
        for (const s of found.services) {
          left -= s.weight;
          if (left < 0) return s.service;
        }
        return found.services.at(-1)?.service ?? null;
      },
    };
  },
};
