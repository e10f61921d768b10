import type { Tenant } from '@pumicebarrow/forms';

/**
 * The tenants of one configuration by their keys. Invariants: keys are known by their digests alone; where the
 * configuration says nothing of tenants no key is needed, and where it names them, though it be none, one is.
 */
export const TenantDirectory = {
  make(tenants: readonly Tenant[] | undefined) {
    const tenantsByKey = new Map<string, Tenant>();
    for (const tenant of tenants ?? []) for (const key of tenant.keys) tenantsByKey.set(key, tenant);
    return {
      /** Whether requests need a key, but for those of open routes. */
      keysRequired: tenants !== undefined,
      /** The tenant that holds the key of this digest. */
      tenantForKey: (key: string | null): Tenant | null => (key === null ? null : (tenantsByKey.get(key) ?? null)),
    };
  },
};
