import { Type, type Static } from 'typebox';

/** An order to a server to play a part. A server that has seen a newer (fence, step), or past `by`, turns it away. */
export const OrderSlip = Type.Object(
  {
    fence: Type.Integer({ minimum: 1 }),
    step: Type.Integer({ minimum: 0 }),
    part: Type.Union([Type.Literal('prefill'), Type.Literal('decode')]),
    stage: Type.Union([Type.Literal('serving'), Type.Literal('draining')]),
    who: Type.String(),
    born: Type.String(),
    by: Type.Number(),
  },
  { additionalProperties: false },
);
export type OrderSlip = Static<typeof OrderSlip>;
