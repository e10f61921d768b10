import type { ModelClients } from './modelclients.js';
import type { ModelOperators } from './modeloperators.js';
import type { Playing } from './playing.js';
import type { Troubles } from './troubles.js';

/** What a drill works with. */
export type Scene = {
  f: Playing;
  clients: ReturnType<typeof ModelClients.make>;
  operators: ReturnType<typeof ModelOperators.make>;
  trouble: ReturnType<typeof Troubles.make>;
};
