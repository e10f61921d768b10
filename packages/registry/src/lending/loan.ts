import { Type, type Static } from 'typebox';

/**
 * How much of one server is lent: the body of the shared document `loan:<server>`, under the fence of that server's
 * row. Invariants: written only by the holder of the row's lease; `slots` is 0 once the loan is returned, revoked or
 * expired. The document only describes the loan; the loan itself is the lease given to its holder, and ends with that
 * lease.
 */
export const Loan = Type.Object(
  {
    server: Type.String(),
    born: Type.String(),
    part: Type.Union([Type.Literal('prefill'), Type.Literal('decode')]),
    slots: Type.Integer({ minimum: 0 }),
    holder: Type.String({ description: 'the daemon that borrows the slots' }),
    burst: Type.String({ description: 'the first of the bursts that the loan is for' }),
    why: Type.Union([
      Type.Literal('lent'),
      Type.Literal('live'),
      Type.Literal('load'),
      Type.Literal('given'),
      Type.Literal('lapsed'),
    ]),
    by: Type.String(),
    since: Type.Number({ description: 'wall-clock time of the lender, for display only' }),
  },
  { additionalProperties: false },
);
export type Loan = Static<typeof Loan>;
