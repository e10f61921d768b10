import { Type, type Static } from 'typebox';
import { Ident } from './ident.js';

/** A message from one daemon to another. */
export const Message = Type.Object(
  {
    /**
     * The protocol version of the sender. Daemons of adjacent releases may differ by one; a newer release may only add
     * keys.
     */
    v: Type.Integer({ minimum: 1, maximum: 1000 }),
    /** The id of the daemon addressed, or '' if only its address is known. */
    to: Type.String({ maxLength: 60 }),
    from: Ident,
    kind: Type.String({ maxLength: 40 }),
    body: Type.Unknown(),
  },
  { additionalProperties: false },
);
export type Message = Static<typeof Message>;
