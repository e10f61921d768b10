import { Type, type Static } from 'typebox';
import { Limits } from './limits.js';
import { Route } from './route.js';
import { Service } from './service.js';
import { Tenant } from './tenant.js';

/**
 * A configuration with routes by host and path, under a revision of its own.
 * Invariant: `source` is exactly the document that the operator sent, and the other keys are derived from it alone.
 */
export const Routing = Type.Object(
  {
    revision: Type.Integer({ minimum: 1 }),
    routes: Type.Array(Route, { maxItems: 20000 }),
    services: Type.Array(Service, { maxItems: 2000 }),
    limits: Limits,
    tenants: Type.Optional(Type.Array(Tenant, { maxItems: 20000, description: 'omitted if requests need no key' })),
    source: Type.Unknown(),
  },
  { additionalProperties: false },
);
export type Routing = Static<typeof Routing>;
