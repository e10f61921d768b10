import { Type, type Static } from 'typebox';

/** One thing wrong with what was given, named by its path. */
export const Fault = Type.Object({ path: Type.String(), why: Type.String() }, { additionalProperties: false });
export type Fault = Static<typeof Fault>;
