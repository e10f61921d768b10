import type { Request } from './request.js';

/**
 * Identifies one attempt of one request. It has an urgency only if the server should serve work without one first.
 */
export type RequestJob = Pick<Request, 'key' | 'attempt'> & { urgency?: number };
