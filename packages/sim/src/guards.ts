import type { Guard } from './guard.js';
import { SharedGuards } from './guards/shared.js';
import { VisitGuards } from './guards/visits.js';

/** The guards that docs/design.md names, each with a run that breaks without it. */
export const Guards: readonly Guard[] = [...VisitGuards, ...SharedGuards];
