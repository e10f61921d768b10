import type { MeteredMotor } from './meteredmotor.js';

/** A running metered motor. */
export type Metered = ReturnType<typeof MeteredMotor.make>;
