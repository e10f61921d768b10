import type { ClientRequest } from './clientrequest.js';

/**
 * Identifies one attempt of one request. It has an urgency only if the server should serve work without one first.
 */
export type RequestAttempt = Pick<ClientRequest, 'key' | 'attempt'> & { urgency?: number };
