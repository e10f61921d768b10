import { Type, type Static } from 'typebox';
import { Charter } from './charter.js';
import { Routing } from './routing.js';

/**
 * The configuration that operators set, in one of two forms: a fleet with named routes that callers choose by name, or
 * routes by host and path.
 */
export const Intent = Type.Union([Charter, Routing]);
export type Intent = Static<typeof Intent>;
