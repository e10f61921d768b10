import type { Admission } from './admission.js';

/** Admission, as the run of a request sees it. */
export type Admitting = ReturnType<typeof Admission.make>;
