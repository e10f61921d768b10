import { Addr, Zone } from '@pumicebarrow/forms';
import { Tunes } from '@pumicebarrow/purge';
import { Type, type Static } from 'typebox';

/** What counterd is started with. */
export const Settings = Type.Object(
  {
    id: Type.String({ pattern: '^[\\w.-]{1,60}$' }),
    addr: Addr,
    hear: Type.Optional(Addr),
    http: Addr,
    site: Zone,
    seeds: Type.Array(Addr, { minItems: 3, maxItems: 16, uniqueItems: true }),
    town: Addr,
    control: Type.Optional(Type.Boolean()),
    level: Type.Optional(Type.Union([Type.Literal('debug'), Type.Literal('info'), Type.Literal('warn')])),
    grace: Type.Optional(Type.Integer({ minimum: 0, maximum: 600000 })),
    purge: Type.Optional(Type.Partial(Tunes)),
  },
  { additionalProperties: false },
);
export type Settings = Static<typeof Settings>;
