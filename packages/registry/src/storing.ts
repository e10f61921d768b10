import type { Store } from './store.js';

/** A store, as the core sees it. */
export type Storing = ReturnType<typeof Store.make>;
