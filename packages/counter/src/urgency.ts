import type { RequestRunnerDependencies } from './requestrunnerdependencies.js';

/** The urgency field of a request to a server; left out for live requests, which have none. */
export const Urgency = {
  of: (t: Pick<RequestRunnerDependencies, 'urgency'>): { urgency?: number } =>
    t.urgency === undefined ? {} : { urgency: t.urgency },
};
