import { Type, type Static } from 'typebox';

/** What a burst asks for: each prompt is generated `samples` times, under a rule that may borrow capacity. */
export const BurstSpec = Type.Object(
  {
    key: Type.String({ pattern: '^[\\w-]{1,60}$' }),
    rule: Type.String({ minLength: 1, maxLength: 40 }),
    prompts: Type.Array(
      Type.Object(
        { prefix: Type.String({ maxLength: 32_768 }), part: Type.String({ maxLength: 32_768 }) },
        { additionalProperties: false },
      ),
      { minItems: 1, maxItems: 64 },
    ),
    samples: Type.Integer({ minimum: 1, maximum: 64 }),
    repeats: Type.Integer({
      minimum: 0,
      maximum: 8,
      description: 'how often a generation that may have run is repeated; 0 if it must not be',
    }),
  },
  { additionalProperties: false },
);
export type BurstSpec = Static<typeof BurstSpec>;
