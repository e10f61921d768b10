import { Charter } from '@pumicebarrow/forms';
import { Type, type Static } from 'typebox';

/**
 * A stored proposal. Invariant: 'open' may become any of the others once; the others never change.
 * `charter` is kept only while open.
 */
export const Plan = Type.Object(
  {
    id: Type.String(),
    base: Type.Integer({ minimum: 0 }),
    fate: Type.Union([Type.Literal('open'), Type.Literal('won'), Type.Literal('lost'), Type.Literal('dropped')]),
    version: Type.Optional(Type.Integer()),
    charter: Type.Optional(Charter),
  },
  { additionalProperties: false },
);
export type Plan = Static<typeof Plan>;
