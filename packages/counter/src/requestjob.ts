import type { Request } from './request.js';

/** What names one try of one request; with an urgency if a server should serve work that names none before it. */
export type RequestJob = Pick<Request, 'key' | 'attempt'> & { urgency?: number };
