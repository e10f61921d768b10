import type { Route, Routing, Service } from '@pumicebarrow/forms';
import { TenantDirectory } from './tenantdirectory.js';

/** A route, and its services that have a positive weight. */
type RouteMatch = { route: Route; services: readonly { service: Service; weight: number }[] };
type HostRoutes = readonly { prefix: string; match: RouteMatch }[];

/**
 * Routing table of one configuration. Invariant: the prefixes of a host are sorted longest first, so that the first
 * match is the most specific one.
 */
export const RouteTable = {
  make(routing: Routing) {
    const services = new Map(routing.services.map((service) => [service.name, service]));
    const hosts = new Map<string, { prefix: string; match: RouteMatch }[]>();
    for (const route of routing.routes) {
      const weightedServices = route.split.flatMap((share) => {
        const service = services.get(share.service);
        return service && share.weight > 0 ? [{ service, weight: share.weight }] : [];
      });
      const entries = hosts.get(route.host) ?? [];
      entries.push({ prefix: route.prefix, match: { route, services: weightedServices } });
      hosts.set(route.host, entries);
    }
    for (const entries of hosts.values()) entries.sort((a, b) => b.prefix.length - a.prefix.length);
    const routesByHost: ReadonlyMap<string, HostRoutes> = hosts;
    return {
      revision: routing.revision,
      limits: routing.limits,
      tenants: TenantDirectory.make(routing.tenants),
      services: (): readonly Service[] => routing.services,
      /** The route with the longest prefix that matches the path; the query is ignored. */
      find(host: string, path: string): RouteMatch | null {
        const pathname = path.split('?', 1)[0]!;
        return routesByHost.get(host)?.find((entry) => pathname.startsWith(entry.prefix))?.match ?? null;
      },
      /** Chooses one of the services of a route by their weights, given a random number in [0, 1). */
      pickService(match: RouteMatch, random: number): Service | null {
        const totalWeight = match.services.reduce((sum, candidate) => sum + candidate.weight, 0);
        let remaining = random * totalWeight;
        for (const candidate of match.services) {
          remaining -= candidate.weight;
          if (remaining < 0) return candidate.service;
        }
        return match.services.at(-1)?.service ?? null;
      },
    };
  },
};
