import type { Meters } from './meters.js';

export type Metering = ReturnType<typeof Meters.make>;
