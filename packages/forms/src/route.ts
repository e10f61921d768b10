import { Type, type Static } from 'typebox';

/**
 * A route: the requests of one host and path prefix, and how they are served.
 * Invariants: no two routes have the same `host` and `prefix`; the weights of `split` sum to more than 0.
 */
export const Route = Type.Object(
  {
    name: Type.String({ minLength: 1, maxLength: 120 }),
    host: Type.String({ minLength: 1, maxLength: 255 }),
    prefix: Type.String({ pattern: '^/', maxLength: 1024 }),
    kind: Type.Union([Type.Literal('idempotent'), Type.Literal('once'), Type.Literal('stream')], {
      description: 'idempotent may run more than once; once and stream at most once per attempt, unless resumable',
    }),
    split: Type.Array(
      Type.Object(
        { service: Type.String({ minLength: 1, maxLength: 120 }), weight: Type.Number({ minimum: 0 }) },
        { additionalProperties: false },
      ),
      { minItems: 1, maxItems: 64 },
    ),
    timeout: Type.Number({ exclusiveMinimum: 0, description: 'maximum ms that a request is held' }),
    aim: Type.Number({ minimum: 0, description: 'target ms to the first event, for the full value of a request' }),
    gap: Type.Number({ minimum: 0, description: 'target ms between events, for the full value of a request' }),
    rank: Type.Integer({ minimum: 0, maximum: 1000, description: 'priority; 0 is served first' }),
    tries: Type.Integer({
      minimum: 1,
      maximum: 1000,
      description: 'maximum number of servers that one attempt is sent to',
    }),
    affinity: Type.Boolean(),
    open: Type.Optional(Type.Boolean({ description: 'whether requests need no key' })),
    resumable: Type.Boolean(),
  },
  { additionalProperties: false },
);
export type Route = Static<typeof Route>;
