import { Verdict } from '@pumicebarrow/forms';
import { Type, type Static } from 'typebox';

/** The result of a command. `verdict.ran` is about the write: 'no' only if nothing was written for it. */
export const CommandResult = Type.Object(
  {
    verdict: Verdict,
    version: Type.Optional(Type.Integer()),
    fence: Type.Optional(Type.Integer()),
    fate: Type.Optional(Type.String()),
  },
  { additionalProperties: false },
);
export type CommandResult = Static<typeof CommandResult>;
