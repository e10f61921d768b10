import type { Plant } from './plant.js';

/** A running fleet of processes. */
export type Planting = Awaited<ReturnType<typeof Plant.make>>;
