import type { Gate } from './gate.js';

/** The gate, as the run of a visit sees it. */
export type Gating = ReturnType<typeof Gate.make>;
