import type { Charter } from './charter.js';
import type { Intent } from './intent.js';
import type { Routing } from './routing.js';

/** Tells the two forms of a configuration apart. */
export const Intents = {
  /** Whether the value has a key that only a `Routing` may have. Works on values that are not validated yet. */
  isRouting: (v: unknown): boolean =>
    typeof v === 'object' && v !== null && ('routes' in v || 'services' in v || 'revision' in v),
  /** The configuration if it is a `Routing`, otherwise null. */
  routing: (v: Intent | null | undefined): Routing | null => (v && 'routes' in v ? v : null),
  /** The configuration if it is a `FleetConfiguration`, otherwise null. */
  charter: (v: Intent | null | undefined): Charter | null => (v && !('routes' in v) ? v : null),
  /** The revision of a `Routing`; 0 otherwise. */
  revision: (v: Intent | null | undefined): number => Intents.routing(v)?.revision ?? 0,
};
