import { Addr, Zone } from '@pumicebarrow/forms';
import { GossipSettings } from '@pumicebarrow/purge';
import { Type, type Static } from 'typebox';

/** Settings of counterd. */
export const Settings = Type.Object(
  {
    id: Type.String({ pattern: '^[\\w.-]{1,60}$' }),
    /** Address at which other daemons reach this one. */
    addr: Addr,
    /** Listen address, if different from `addr`. */
    hear: Type.Optional(Addr),
    /** HTTP address for clients and operators. */
    http: Addr,
    /** Zone of the daemon. */
    site: Zone,
    /** Addresses of other daemons to contact first. */
    seeds: Type.Array(Addr, { minItems: 3, maxItems: 16, uniqueItems: true }),
    /** Address of the platform's inventory of model servers. */
    town: Addr,
    /** Whether to serve the operator API. */
    control: Type.Optional(Type.Boolean()),
    /** Log level. */
    level: Type.Optional(Type.Union([Type.Literal('debug'), Type.Literal('info'), Type.Literal('warn')])),
    /** Time in ms to finish requests at shutdown. */
    grace: Type.Optional(Type.Integer({ minimum: 0, maximum: 600000 })),
    /** Gossip settings that differ from the defaults. */
    purge: Type.Optional(Type.Partial(GossipSettings)),
  },
  { additionalProperties: false },
);
export type Settings = Static<typeof Settings>;
