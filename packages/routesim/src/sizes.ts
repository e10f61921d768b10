import type { Size } from './size.js';

/** The fleets that drills are played on; servers are counted for each of two services. */
export const Sizes = {
  small: { name: 'small', routers: 7, replicas: 3, losses: 1, readers: 1, decoders: 2 },
  five: { name: 'five', routers: 9, replicas: 5, losses: 2, readers: 1, decoders: 3 },
  /** Three servers of each stage, as on a small site. */
  even: { name: 'even', routers: 7, replicas: 3, losses: 1, readers: 3, decoders: 3 },
  many: { name: 'many', routers: 24, replicas: 5, losses: 2, readers: 4, decoders: 8 },
  /** One class of machines: six of them carry a control replica too, one more than vote. */
  shared: { name: 'shared', routers: 20, replicas: 6, losses: 2, readers: 3, decoders: 4, shared: true },
} as const satisfies Record<string, Size>;
