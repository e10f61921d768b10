import { Type, type Static } from 'typebox';
import { FleetConfiguration } from './fleetconfiguration.js';
import { Routing } from './routing.js';

/**
 * The configuration that operators set, in one of two forms: a fleet with named routes that callers choose by name, or
 * routes by host and path.
 */
export const Configuration = Type.Union([FleetConfiguration, Routing]);
export type Configuration = Static<typeof Configuration>;
