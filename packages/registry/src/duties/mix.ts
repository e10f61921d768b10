import { Type, type Static } from 'typebox';

/** How many servers should read: the body of the shared doc `mix`, written under its lease. */
export const Mix = Type.Object(
  { prefill: Type.Integer({ minimum: 1 }), by: Type.String() },
  { additionalProperties: false },
);
export type Mix = Static<typeof Mix>;
