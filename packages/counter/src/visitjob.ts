import type { Visit } from './visit.js';

/** What names one try of one visit; with an urgency if a server should serve work that names none before it. */
export type VisitJob = Pick<Visit, 'key' | 'attempt'> & { urgency?: number };
