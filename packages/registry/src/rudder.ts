import type { Helm } from './helm.js';

/** A helm, as its watch sees it. */
export type Rudder = ReturnType<typeof Helm.make>;
