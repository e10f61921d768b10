import type { Fault } from './fault.js';
import type { Routing } from './routing.js';
import { TenantValidator } from './tenantvalidator.js';

/** Validates the references between the parts of a `Routing`. Host names are compared without regard to case. */
export const RoutingValidator = {
  /** At most 50 faults. */
  faults(r: Routing): Fault[] {
    const faults: Fault[] = [];
    const services = new Set<string>();
    r.services.forEach((s, i) => {
      if (services.has(s.name)) faults.push({ path: `/services/${i}/name`, why: `names ${s.name} again` });
      services.add(s.name);
    });
    const indexByPlace = new Map<string, number>();
    r.routes.forEach((route, i) => {
      const place = `${route.host.toLowerCase()}${route.prefix}`,
        earlier = indexByPlace.get(place);
      if (earlier !== undefined)
        faults.push({ path: `/routes/${i}`, why: `has the host and prefix of /routes/${earlier}` });
      else indexByPlace.set(place, i);
      if (!(route.timeout > 0)) faults.push({ path: `/routes/${i}/timeout`, why: 'must be above 0' });
      route.split.forEach((share, j) => {
        if (!services.has(share.service))
          faults.push({ path: `/routes/${i}/split/${j}/service`, why: `names the unknown service ${share.service}` });
      });
      if (!(route.split.reduce((n, share) => n + share.weight, 0) > 0))
        faults.push({ path: `/routes/${i}/split`, why: 'has weights that sum to nothing' });
    });
    faults.push(...TenantValidator.faults(r.tenants ?? []));
    return faults.slice(0, 50);
  },
};
