import { Err, Ok, Verdicts, type Result, type Route, type Tenant, type Verdict } from '@pumicebarrow/forms';
import type { ClientRequest } from './clientrequest.js';
import type { Routes } from './routes.js';

/** The header in which a client sends its key. */
const CREDENTIALS_HEADER = 'authorization';

/**
 * Authenticates requests by their API keys against the current configuration. Invariants: an authenticated request
 * names the tenant that holds its key and no other, and the key itself is not passed on.
 */
export const RequestAuthentication = {
  /** Whether requests on this route need a key. */
  isKeyRequired: (routes: Routes, route: Route): boolean => routes.tenants.keysRequired && route.open !== true,
  /** The tenant that holds the key; null if none does but the route needs no key. */
  authenticate(routes: Routes, route: Route, keyDigest: string | null): Result<Tenant | null, Verdict> {
    if (!routes.tenants.keysRequired) return Ok(null);
    const tenant = routes.tenants.tenantForKey(keyDigest);
    if (tenant !== null || route.open === true) return Ok(tenant);
    if (keyDigest === null) return Err(Verdicts.notRun('nokey', 'The request shows no key.'));
    return Err(Verdicts.notRun('unknownkey', 'No tenant holds the key that the request shows.'));
  },
  /** The request as it is sent to servers: without the key, and with the tenant's name. */
  withoutCredentials(routes: Routes, request: ClientRequest, tenant: Tenant | null): ClientRequest {
    if (!routes.tenants.keysRequired) return request;
    const headers = request.headers.filter(([name]) => name.toLowerCase() !== CREDENTIALS_HEADER);
    return { ...request, headers, tenant: tenant?.name ?? null };
  },
};
