import type { Whereabouts } from './whereabouts.js';

/** Where core daemons are met, as those that ask them see it. */
export type Spots = ReturnType<typeof Whereabouts.make>;
