import { Verdict } from '@pumicebarrow/forms';
import { Type, type Static } from 'typebox';

/** What a command came to. `ran` speaks of the write: 'no' only if nothing was written for it. */
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
