import { Intent } from '@pumicebarrow/forms';
import { Type, type Static } from 'typebox';

/**
 * A stored proposal. Invariant: 'open' may become any of the others once; the others never change.
 * `charter` is kept only while open; `over` is there
 * of what won as a replacement and of nothing else, and no two have the same.
 */
export const Plan = Type.Object(
  {
    id: Type.String(),
    base: Type.Integer({ minimum: 0 }),
    fate: Type.Union([Type.Literal('open'), Type.Literal('won'), Type.Literal('lost'), Type.Literal('dropped')]),
    version: Type.Optional(Type.Integer()),
    over: Type.Optional(Type.Integer({ minimum: 0, description: 'the revision that it was put in the place of' })),
    charter: Type.Optional(Intent),
  },
  { additionalProperties: false },
);
export type Plan = Static<typeof Plan>;
