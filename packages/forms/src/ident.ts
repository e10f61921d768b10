import { Type, type Static } from 'typebox';
import { Addr } from './addr.js';
import { Zone } from './zone.js';

/**
 * Who a daemon is. `id` and `born` together are the identity; `addr` is only where it was last met.
 * Invariant: two idents with one `id` and unlike `born` are two daemons.
 */
export const Ident = Type.Object(
  {
    id: Type.String({ minLength: 1, maxLength: 60 }),
    born: Type.String({ minLength: 1, maxLength: 60 }),
    addr: Addr,
    site: Zone,
    role: Type.Union([Type.Literal('counter'), Type.Literal('registry')]),
  },
  { additionalProperties: false },
);
export type Ident = Static<typeof Ident>;
