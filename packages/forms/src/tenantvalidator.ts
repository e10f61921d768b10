import type { Fault } from './fault.js';
import type { Tenant } from './tenant.js';

/** Validates that the tenants of a configuration have distinct names and share no key. */
export const TenantValidator = {
  faults(tenants: readonly Tenant[]): Fault[] {
    const indexByName = new Map<string, number>();
    const indexByKey = new Map<string, number>();
    const faults: Fault[] = [];
    tenants.forEach((tenant, i) => {
      const sameName = indexByName.get(tenant.name);
      if (sameName === undefined) indexByName.set(tenant.name, i);
      else faults.push({ path: `/tenants/${i}/name`, why: `is the name of /tenants/${sameName} too` });
      tenant.keys.forEach((key, j) => {
        const owner = indexByKey.get(key);
        if (owner === undefined) indexByKey.set(key, i);
        else if (owner !== i)
          faults.push({ path: `/tenants/${i}/keys/${j}`, why: `is a key of /tenants/${owner} too` });
      });
    });
    return faults;
  },
};
