import { Addr, Zone } from '@pumicebarrow/forms';
import { Tunes } from '@pumicebarrow/purge';
import { Type, type Static } from 'typebox';

/** What registryd is started with. */
export const Settings = Type.Object(
  {
    id: Type.String({ pattern: '^[\\w.-]{1,60}$' }),
    addr: Addr,
    hear: Type.Optional(Addr),
    http: Type.Optional(Addr),
    site: Zone,
    seeds: Type.Array(Addr, { minItems: 3, maxItems: 16, uniqueItems: true }),
    losses: Type.Optional(Type.Integer({ minimum: 1, maximum: 3, description: 'machines that may be lost at once' })),
    first: Type.Optional(Type.Boolean({ description: 'false: with an empty folder it only ever joins' })),
    data: Type.String({ minLength: 1 }),
    level: Type.Optional(Type.Union([Type.Literal('debug'), Type.Literal('info'), Type.Literal('warn')])),
    purge: Type.Optional(Type.Partial(Tunes)),
  },
  { additionalProperties: false },
);
export type Settings = Static<typeof Settings>;
