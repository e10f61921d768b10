import type { Meters } from './meters.js';

/** The metrics of one daemon. */
export type Metering = ReturnType<typeof Meters.make>;
