import type { Duty } from './duty.js';

/** The duties, as casting sees them. */
export type Duties = ReturnType<typeof Duty.make>;
