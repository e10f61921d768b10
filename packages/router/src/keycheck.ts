import { Err, Ok, Verdicts, type Result, type Route, type Tenant, type Verdict } from '@pumicebarrow/forms';
import type { Request } from './request.js';
import type { Routes } from './routes.js';

/** The header in which a client shows its key. */
const CREDENTIALS_HEADER = 'authorization';

/**
 * Whether a request may be served, by the key that it shows and the configuration in force now. Invariants: past it a
 * request names the tenant that holds its key and no other, and the key itself goes no further.
 */
export const RequestAuthentication = {
  /** Whether a request needs a key. */
  isKeyRequired: (routes: Routes, route: Route): boolean => routes.tenants.keysRequired && route.open !== true,
  /** The tenant that a request is of; null where no key is needed and no tenant holds the one shown. */
  authenticate(routes: Routes, route: Route, keyDigest: string | null): Result<Tenant | null, Verdict> {
    if (!routes.tenants.keysRequired) return Ok(null);
    const tenant = routes.tenants.tenantForKey(keyDigest);
    if (tenant !== null || route.open === true) return Ok(tenant);
    if (keyDigest === null) return Err(Verdicts.not('nokey', 'The request shows no key.'));
    return Err(Verdicts.not('unknownkey', 'No tenant holds the key that the request shows.'));
  },
  /** The request as servers may see it. */
  withoutCredentials(routes: Routes, request: Request, tenant: Tenant | null): Request {
    if (!routes.tenants.keysRequired) return request;
    const headers = request.headers.filter(([name]) => name.toLowerCase() !== CREDENTIALS_HEADER);
    return { ...request, headers, tenant: tenant?.name ?? null };
  },
};
