import type { Park } from './park.js';

/** The servers and the platform, as faults see them. */
export type Yardful = ReturnType<typeof Park.make>;
