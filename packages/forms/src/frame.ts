import { Type, type Static } from 'typebox';
import { Mail } from './mail.js';

/** One line on a connection between daemons: a message with its sequence number `n`, or the reply `re` to it. */
export const Frame = Type.Union([
  Type.Object({ n: Type.Integer({ minimum: 1 }), mail: Mail }, { additionalProperties: false }),
  Type.Object({ n: Type.Integer({ minimum: 1 }), re: Type.Unknown() }, { additionalProperties: false }),
]);
export type Frame = Static<typeof Frame>;
