import { Type, type Static } from 'typebox';
import { Charter } from './charter.js';
import { Routing } from './routing.js';

/** What operators want, in one of two shapes: rules that callers name, or routes by host and path. */
export const Intent = Type.Union([Charter, Routing]);
export type Intent = Static<typeof Intent>;
