import { Type, type Static } from 'typebox';
import { Addr } from './addr.js';
import { Zone } from './zone.js';

/**
 * The identity of a daemon: `id` and `born` together. `addr` is only the address at which it was last reached.
 * Invariant: two idents with the same `id` and different `born` are two different daemons.
 */
export const Ident = Type.Object(
  {
    id: Type.String({ minLength: 1, maxLength: 60 }),
    /** The incarnation of the daemon. */
    born: Type.String({ minLength: 1, maxLength: 60 }),
    addr: Addr,
    /** The zone of the daemon. */
    site: Zone,
    role: Type.Union([Type.Literal('counter'), Type.Literal('registry')]),
  },
  { additionalProperties: false },
);
export type Ident = Static<typeof Ident>;
