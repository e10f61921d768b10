import type { TownWatch } from './townwatch.js';

/** The platform's list of servers, as other modules read it. */
export type TownView = ReturnType<typeof TownWatch.make>;
