import { Type, type Static } from 'typebox';

/** Limits on the size of client requests and on how long a client may take to send them. */
export const Limits = Type.Object(
  {
    header: Type.Integer({ minimum: 1, description: 'maximum size of the header in bytes' }),
    body: Type.Integer({ minimum: 0, description: 'maximum size of the body in bytes' }),
    headerWait: Type.Number({ minimum: 0, description: 'ms within which the header must arrive' }),
    idle: Type.Number({ minimum: 0, description: 'ms after which an idle connection is closed' }),
  },
  { additionalProperties: false },
);
export type Limits = Static<typeof Limits>;
