import { Type, type Static } from 'typebox';

/** Limits on the size of client requests and on how long a client may take to send them. */
export const Limits = Type.Object(
  {
    /** Maximum size of a request's header. */
    header: Type.Integer({ minimum: 1, description: 'bytes' }),
    /** Maximum size of a request's body. */
    body: Type.Integer({ minimum: 0, description: 'bytes' }),
    /** Time within which the header must arrive. */
    headerWait: Type.Number({ minimum: 0, description: 'ms' }),
    /** Time after which an idle connection is closed. */
    idle: Type.Number({ minimum: 0, description: 'ms' }),
  },
  { additionalProperties: false },
);
export type Limits = Static<typeof Limits>;
