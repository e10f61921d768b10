import { Type, type Static } from 'typebox';
import { Lending } from './lending.js';
import { Rule } from './rule.js';

/** The operators' intent: what is served and how. Invariant: a charter in force has passed Clauses.faults. */
export const Charter = Type.Object(
  {
    sites: Type.Array(Type.String({ minLength: 1, maxLength: 40 }), { minItems: 1, maxItems: 64 }),
    rules: Type.Array(Rule, { minItems: 1, maxItems: 64 }),
    fallback: Type.Optional(Type.String({ description: 'the rule for requests that name none' })),
    servers: Type.Array(
      Type.Object(
        {
          id: Type.String({ minLength: 1, maxLength: 60 }),
          site: Type.String(),
          part: Type.Union([Type.Literal('prefill'), Type.Literal('decode'), Type.Literal('either')]),
          slots: Type.Integer({ minimum: 1, maximum: 1024 }),
        },
        { additionalProperties: false },
      ),
      { minItems: 1, maxItems: 256 },
    ),
    casting: Type.Object(
      {
        prefill: Type.Integer({ minimum: 1, description: 'servers that read at the start' }),
        floor: Type.Object(
          { prefill: Type.Integer({ minimum: 1 }), decode: Type.Integer({ minimum: 1 }) },
          { additionalProperties: false },
        ),
        swing: Type.Boolean({ description: 'whether parts follow the mix' }),
        calm: Type.Integer({ minimum: 1000, maximum: 600000, description: 'ms between two swings at the least' }),
      },
      { additionalProperties: false },
    ),
    lending: Type.Optional(Lending),
  },
  { additionalProperties: false },
);
export type Charter = Static<typeof Charter>;
