import type { ModelClients } from './modelclients.js';
import type { ModelOperators } from './modeloperators.js';
import type { Fleet } from './fleet.js';
import type { Troubles } from './troubles.js';

/** What a drill works with. */
export type Scene = {
  fleet: Fleet;
  clients: ReturnType<typeof ModelClients.make>;
  operators: ReturnType<typeof ModelOperators.make>;
  trouble: ReturnType<typeof Troubles.make>;
};
