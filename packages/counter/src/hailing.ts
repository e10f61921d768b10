import type { Hails } from './hails.js';

/** What is known of the servers' clocks, as those who send see it. */
export type Hailing = ReturnType<typeof Hails.make>;
