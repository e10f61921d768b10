import type { SimDisk } from './simdisk.js';

/** A simulated disk, as the faults see it. */
export type Platter = ReturnType<typeof SimDisk.make>;
