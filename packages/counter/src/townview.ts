import type { TownWatch } from './townwatch.js';

/** The platform's list, as the other parts see it. */
export type TownView = ReturnType<typeof TownWatch.make>;
