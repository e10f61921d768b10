import type { Tenant } from '@pumicebarrow/forms';

/**
 * The tenants of one configuration, indexed by API key. Invariants: keys are known only by their digests; without a
 * list of tenants in the configuration no key is needed, and with one, even an empty one, every request needs a key.
 */
export const TenantDirectory = {
  make(tenants: readonly Tenant[] | undefined) {
    const tenantsByKey = new Map<string, Tenant>();
    for (const tenant of tenants ?? []) for (const key of tenant.keys) tenantsByKey.set(key, tenant);
    return {
      /** Whether requests need a key, except on open routes. */
      keysRequired: tenants !== undefined,
      /** The tenant whose key has this digest. */
      tenantForKey: (key: string | null): Tenant | null => (key === null ? null : (tenantsByKey.get(key) ?? null)),
    };
  },
};
