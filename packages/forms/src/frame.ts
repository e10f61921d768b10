import { Type, type Static } from 'typebox';
import { Message } from './message.js';

/** One line on a connection between daemons: a message with its sequence number `n`, or the reply `re` to it. */
export const Frame = Type.Union([
  Type.Object({ n: Type.Integer({ minimum: 1 }), mail: Message }, { additionalProperties: false }),
  Type.Object({ n: Type.Integer({ minimum: 1 }), re: Type.Unknown() }, { additionalProperties: false }),
]);
export type Frame = Static<typeof Frame>;
