import { Type, type Static } from 'typebox';

/** A route that callers choose by name: how its requests are admitted, queued and limited. */
export const NamedRoute = Type.Object(
  {
    name: Type.String({ minLength: 1, maxLength: 40 }),
    weight: Type.Number({
      exclusiveMinimum: 0,
      maximum: 1000,
      description: 'share of a server that one request takes, relative to the other rules',
    }),
    urgency: Type.Integer({ minimum: 0, maximum: 9, description: 'requests of urgency 9 leave the queue first' }),
    limit: Type.Integer({ minimum: 1, maximum: 10000, description: 'maximum requests in flight per daemon' }),
    waitlist: Type.Integer({ minimum: 0, maximum: 10000, description: 'maximum queued requests per daemon' }),
    deadline: Type.Integer({
      minimum: 50,
      maximum: 600000,
      description: 'maximum ms from arrival to the first piece of the answer',
    }),
    pieces: Type.Integer({ minimum: 1, maximum: 100000, description: 'maximum length of an answer, in pieces' }),
    bytes: Type.Integer({ minimum: 1, maximum: 4194304, description: 'maximum size of prefix and part together' }),
    sites: Type.Optional(Type.Array(Type.String(), { description: 'zones where it is served; all zones if omitted' })),
  },
  { additionalProperties: false },
);
export type NamedRoute = Static<typeof NamedRoute>;
