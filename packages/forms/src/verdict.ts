import { Type, type Static } from 'typebox';

/**
 * The outcome of a request or a command, and whether it may have been executed.
 * Invariant: `ran: 'no'` is returned only if it was not executed and never will be.
 */
export const Verdict = Type.Object(
  {
    ran: Type.Union([Type.Literal('no'), Type.Literal('maybe'), Type.Literal('yes')]),
    code: Type.String(),
    why: Type.String(),
    after: Type.Optional(Type.Number({ description: 'seconds to wait before a retry' })),
    faults: Type.Optional(Type.Array(Type.Object({ path: Type.String(), why: Type.String() }))),
  },
  { additionalProperties: false },
);
export type Verdict = Static<typeof Verdict>;
