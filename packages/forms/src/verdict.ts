import { Type, type Static } from 'typebox';

/**
 * What became of a request or a command, and whether it may have run.
 * Invariant: `ran: 'no'` is said only when it has not run and never will.
 */
export const Verdict = Type.Object(
  {
    ran: Type.Union([Type.Literal('no'), Type.Literal('maybe'), Type.Literal('yes')]),
    code: Type.String(),
    why: Type.String(),
    after: Type.Optional(Type.Number({ description: 'seconds until it is worth asking again' })),
    faults: Type.Optional(Type.Array(Type.Object({ path: Type.String(), why: Type.String() }))),
  },
  { additionalProperties: false },
);
export type Verdict = Static<typeof Verdict>;
