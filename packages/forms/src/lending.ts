import { Type, type Static } from 'typebox';

const parts = <T extends ReturnType<typeof Type.Number> | ReturnType<typeof Type.Integer>>(one: T) =>
  Type.Object({ prefill: one, decode: one }, { additionalProperties: false });

/**
 * Who may borrow what live work does not need. Invariants: a rule that may borrow is less urgent than every other, and
 * its answers are short enough to be kept; a loan is shorter than the quiet time of a new holder of a server's row.
 */
export const Lending = Type.Object(
  {
    rules: Type.Array(Type.String(), { minItems: 1, maxItems: 8, description: 'the rules whose bursts may borrow' }),
    most: parts(
      Type.Number({ minimum: 0, maximum: 1, description: "share of a part's slots that is lent at the most" }),
    ),
    keep: parts(Type.Number({ minimum: 0, maximum: 100_000, description: 'slots that are never lent' })),
    swaps: Type.Optional(
      Type.Object(
        {
          floor: parts(
            Type.Integer({ minimum: 1, description: 'servers that stay in the part, whatever bursts need' }),
          ),
          hour: Type.Integer({ minimum: 1, maximum: 60, description: 'swaps for bursts in an hour at the most' }),
        },
        {
          additionalProperties: false,
          description: 'whether a server may change its part for bursts; not if left out',
        },
      ),
    ),
    length: Type.Integer({
      minimum: 500,
      maximum: 2500,
      description: 'ms after which a loan must have been asked for again',
    }),
  },
  { additionalProperties: false },
);
export type Lending = Static<typeof Lending>;
