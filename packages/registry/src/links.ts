import type { Chain } from './chain.js';

/** A chain member's own link, as the core sees it. */
export type Links = ReturnType<typeof Chain.make>;
