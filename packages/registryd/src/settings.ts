import { Addr, Zone } from '@pumicebarrow/forms';
import { GossipSettings } from '@pumicebarrow/purge';
import { Type, type Static } from 'typebox';

/** Settings of registryd. */
export const Settings = Type.Object(
  {
    id: Type.String({ pattern: '^[\\w.-]{1,60}$' }),
    /** Address at which other daemons reach this one. */
    addr: Addr,
    /** Listen address, if different from `addr`. */
    hear: Type.Optional(Addr),
    /** HTTP address for health checks and metrics. */
    http: Type.Optional(Addr),
    /** Zone of the daemon. */
    site: Zone,
    /** Addresses of other daemons to contact first. */
    seeds: Type.Array(Addr, { minItems: 3, maxItems: 16, uniqueItems: true }),
    losses: Type.Optional(
      Type.Integer({ minimum: 1, maximum: 3, description: 'number of machines that may fail at once' }),
    ),
    first: Type.Optional(
      Type.Boolean({ description: 'false: with an empty data folder the daemon only joins an existing core' }),
    ),
    /** Folder of the stored data. */
    data: Type.String({ minLength: 1 }),
    /** Log level. */
    level: Type.Optional(Type.Union([Type.Literal('debug'), Type.Literal('info'), Type.Literal('warn')])),
    /** Gossip settings that differ from the defaults. */
    purge: Type.Optional(Type.Partial(GossipSettings)),
  },
  { additionalProperties: false },
);
export type Settings = Static<typeof Settings>;
