import { Type, type Static } from 'typebox';

/** What a client may send, and how long it may take. */
export const Limits = Type.Object(
  {
    header: Type.Integer({ minimum: 1, description: 'bytes' }),
    body: Type.Integer({ minimum: 0, description: 'bytes' }),
    headerWait: Type.Number({ minimum: 0, description: 'ms' }),
    idle: Type.Number({ minimum: 0, description: 'ms' }),
  },
  { additionalProperties: false },
);
export type Limits = Static<typeof Limits>;
