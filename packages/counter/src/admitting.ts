import type { Admission } from './admission.js';

/** Admission, as the run of a visit sees it. */
export type Admitting = ReturnType<typeof Admission.make>;
