import type { Hails } from './hails.js';

/** What is known of the servers' clocks, as the modules that send requests use it. */
export type Hailing = ReturnType<typeof Hails.make>;
