import { Type, type Static } from 'typebox';

/**
 * How many servers should read: the body of the shared doc `mix`, written under its lease. Invariants: `lent` is what
 * of `prefill` is there for bursts, 1, 0 or -1; `swaps` is by the wall clock, of the last hour.
 */
export const Mix = Type.Object(
  {
    prefill: Type.Integer({ minimum: 1 }),
    by: Type.String(),
    lent: Type.Optional(Type.Integer({ minimum: -1, maximum: 1 })),
    swaps: Type.Optional(
      Type.Array(Type.Number(), { maxItems: 60, description: 'when servers changed their part for bursts' }),
    ),
    back: Type.Optional(Type.Boolean({ description: 'a server goes back to live work, and waits for no calm' })),
  },
  { additionalProperties: false },
);
export type Mix = Static<typeof Mix>;
