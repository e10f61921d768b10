import type { FleetConfiguration } from './fleetconfiguration.js';
import type { Configuration } from './configuration.js';
import type { Routing } from './routing.js';

/** Tells the two forms of a configuration apart. */
export const Configurations = {
  /** Whether the value has a key that only a `Routing` may have. Works on values that are not validated yet. */
  isRouting: (v: unknown): boolean =>
    typeof v === 'object' && v !== null && ('routes' in v || 'services' in v || 'revision' in v),
  /** The configuration if it is a `Routing`, otherwise null. */
  asRouting: (v: Configuration | null | undefined): Routing | null => (v && 'routes' in v ? v : null),
  /** The configuration if it is a `FleetConfiguration`, otherwise null. */
  asFleet: (v: Configuration | null | undefined): FleetConfiguration | null => (v && !('routes' in v) ? v : null),
  /** The revision of a `Routing`; 0 otherwise. */
  revisionOf: (v: Configuration | null | undefined): number => Configurations.asRouting(v)?.revision ?? 0,
};
