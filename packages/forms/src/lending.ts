import { Type, type Static } from 'typebox';

const parts = <T extends ReturnType<typeof Type.Number>>(one: T) =>
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
    length: Type.Integer({
      minimum: 500,
      maximum: 2500,
      description: 'ms after which a loan must have been asked for again',
    }),
  },
  { additionalProperties: false },
);
export type Lending = Static<typeof Lending>;
