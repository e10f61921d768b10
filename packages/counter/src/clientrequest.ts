import { Type, type Static } from 'typebox';

/**
 * A client's request. Invariants: one key stands for one body; a retry under the same key has the next attempt number.
 * With `owners`, no two calls of one attempt can both run, whichever daemons they go to; without, see docs/design.md.
 */
export const ClientRequest = Type.Object(
  {
    key: Type.String({ minLength: 1, maxLength: 120, pattern: '^[\\w.:-]+$' }),
    attempt: Type.Integer({ minimum: 1, maximum: 1000 }),
    rule: Type.Optional(Type.String({ maxLength: 40 })),
    prefix: Type.String({ maxLength: 4194304 }),
    part: Type.String({ maxLength: 4194304 }),
    owners: Type.Optional(
      Type.Array(Type.String({ maxLength: 120 }), {
        minItems: 2,
        maxItems: 2,
        description: "the two daemons' lives that alone may record it, the same for every call of a key",
      }),
    ),
  },
  { additionalProperties: false },
);
export type ClientRequest = Static<typeof ClientRequest>;
