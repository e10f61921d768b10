import type { Select } from './select.js';

/** The choice of servers, as the run of a visit sees it. */
export type Selecting = ReturnType<typeof Select.make>;
