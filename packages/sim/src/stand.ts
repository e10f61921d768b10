import type { Model } from './model.js';

/** A stand-in server. */
export type Stand = ReturnType<typeof Model.make>;
