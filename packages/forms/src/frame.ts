import { Type, type Static } from 'typebox';
import { Mail } from './mail.js';

/** One line on a connection between daemons: a mail with its number, or the reply to one. */
export const Frame = Type.Union([
  Type.Object({ n: Type.Integer({ minimum: 1 }), mail: Mail }, { additionalProperties: false }),
  Type.Object({ n: Type.Integer({ minimum: 1 }), re: Type.Unknown() }, { additionalProperties: false }),
]);
export type Frame = Static<typeof Frame>;
