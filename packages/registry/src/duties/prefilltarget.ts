import { Type, type Static } from 'typebox';

/**
 * How many servers should serve the prefill stage: the body of the shared document `mix`, written under its lease. `by`
 * is the writer.
 */
export const PrefillTarget = Type.Object(
  { prefill: Type.Integer({ minimum: 1 }), by: Type.String() },
  { additionalProperties: false },
);
export type PrefillTarget = Static<typeof PrefillTarget>;
