import { Type, type Static } from 'typebox';

/** What a caller asks for. Invariant: one key names one body; a try again under the same key has the next attempt number. */
export const Visit = Type.Object({
  key: Type.String({ minLength: 1, maxLength: 120, pattern: '^[\\w.:-]+$' }),
  attempt: Type.Integer({ minimum: 1, maximum: 1000 }),
  rule: Type.Optional(Type.String({ maxLength: 40 })),
  prefix: Type.String({ maxLength: 4194304 }),
  part: Type.String({ maxLength: 4194304 }),
}, { additionalProperties: false });
export type Visit = Static<typeof Visit>;
