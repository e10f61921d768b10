import type { Job } from './job.js';
import { RequestAuthentication } from './requestauthentication.js';
import type { Routes } from './routes.js';

/** Checks the API key of a request against the configuration in force. */
export const JobKey = {
  /**
   * Whether the request's key is still valid; if it now belongs to another tenant, the request becomes that tenant's.
   */
  refresh(routes: Routes | null, job: Job): boolean {
    if (!routes?.tenants.keysRequired) return true;
    const authenticated = RequestAuthentication.authenticate(routes, job.route, job.request.keyDigest);
    if (authenticated.err) return false;
    job.request = RequestAuthentication.withoutCredentials(routes, job.request, authenticated.val);
    return true;
  },
};
