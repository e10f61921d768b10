import type { Admission } from './admission.js';

/** Admission control, as request handling uses it. */
export type Admitting = ReturnType<typeof Admission.make>;
