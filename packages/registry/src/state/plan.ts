import { Configuration } from '@pumicebarrow/forms';
import { Type, type Static } from 'typebox';

/**
 * A stored proposal of a configuration. Invariant: 'open' changes once to one of the other fates, which never change.
 * `charter` is the proposed configuration, kept only while open. `over` is set only on a replacement that won, and no
 * two plans have the same value.
 */
export const Plan = Type.Object(
  {
    id: Type.String(),
    base: Type.Integer({ minimum: 0 }),
    fate: Type.Union([Type.Literal('open'), Type.Literal('won'), Type.Literal('lost'), Type.Literal('dropped')]),
    version: Type.Optional(Type.Integer()),
    over: Type.Optional(Type.Integer({ minimum: 0, description: 'the revision that it replaced' })),
    charter: Type.Optional(Configuration),
  },
  { additionalProperties: false },
);
export type Plan = Static<typeof Plan>;
