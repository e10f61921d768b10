import type { Charter } from './charter.js';
import type { Intent } from './intent.js';
import type { Routing } from './routing.js';

/** Which shape an intent has. */
export const Intents = {
  /** Told by what only a routing may hold, of values that were not checked too. */
  routes: (v: unknown): boolean =>
    typeof v === 'object' && v !== null && ('routes' in v || 'services' in v || 'revision' in v),
  routing: (v: Intent | null | undefined): Routing | null => (v && 'routes' in v ? v : null),
  charter: (v: Intent | null | undefined): Charter | null => (v && !('routes' in v) ? v : null),
  /** The revision of the routing in force; 0 where there is none. */
  revision: (v: Intent | null | undefined): number => Intents.routing(v)?.revision ?? 0,
};
