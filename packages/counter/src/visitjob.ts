import type { Visit } from './visit.js';

/** What names one try of one visit. */
export type VisitJob = Pick<Visit, 'key' | 'attempt'>;
