import type { Size } from './size.js';

/** The fleets that drills are played on; servers are counted for each of two services. */
export const Sizes = {
  small: { name: 'small', routers: 7, replicas: 3, losses: 1, readers: 1, decoders: 2 },
  five: { name: 'five', routers: 9, replicas: 5, losses: 2, readers: 1, decoders: 3 },
  /** Three servers of each stage, as on a small site. */
  even: { name: 'even', routers: 7, replicas: 3, losses: 1, readers: 3, decoders: 3 },
  /** Five control replicas in three zones, of which one may be lost. */
  zoned: {
    ...{ name: 'zoned', routers: 7, replicas: 5, losses: 1, readers: 1, decoders: 2 },
    ...{ zones: ['z1', 'z1', 'z2', 'z2', 'z3'], zoneLosses: 1 },
  },
  /** Five control replicas in five zones of three regions, of which one may be lost. */
  regional: {
    ...{ name: 'regional', routers: 7, replicas: 5, losses: 1, readers: 1, decoders: 2, regionLosses: 1 },
    ...{ zones: ['z1', 'z3', 'z4', 'z5', 'z6'], regions: { z1: 'r1', z3: 'r1', z4: 'r2', z5: 'r2', z6: 'r3' } },
  },
  many: { name: 'many', routers: 24, replicas: 5, losses: 2, readers: 4, decoders: 8 },
  /** One class of machines: six of them carry a control replica too, one more than vote. */
  shared: { name: 'shared', routers: 20, replicas: 6, losses: 2, readers: 3, decoders: 4, shared: true },
} as const satisfies Record<string, Size>;
