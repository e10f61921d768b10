import { Type, type Static } from 'typebox';

/** One validation error: the path of the value concerned and what is wrong with it. */
export const Fault = Type.Object({ path: Type.String(), why: Type.String() }, { additionalProperties: false });
export type Fault = Static<typeof Fault>;
