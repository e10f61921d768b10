import { Type, type Static } from 'typebox';

const perStage = <T extends ReturnType<typeof Type.Number>>(value: T) =>
  Type.Object({ prefill: value, decode: value }, { additionalProperties: false });

/**
 * Which requests may borrow server capacity that live traffic does not need, and how much of it. Invariants: a route
 * that may borrow is less urgent than all others, and its answers are short enough to be stored; a loan ends before a
 * new holder of the server's row finishes its waiting period.
 */
export const Lending = Type.Object(
  {
    rules: Type.Array(Type.String(), { minItems: 1, maxItems: 8, description: 'the rules whose bursts may borrow' }),
    /** The largest share of a stage's slots that may be lent. */
    most: perStage(
      Type.Number({ minimum: 0, maximum: 1, description: "maximum share of a stage's slots that is lent" }),
    ),
    /** The reserve of each stage. */
    keep: perStage(Type.Number({ minimum: 0, maximum: 100_000, description: 'slots that are never lent' })),
    /** The term of a loan. */
    length: Type.Integer({
      minimum: 500,
      maximum: 2500,
      description: 'ms after which a loan expires unless it was renewed',
    }),
  },
  { additionalProperties: false },
);
export type Lending = Static<typeof Lending>;
