import { Ident } from '@pumicebarrow/forms';
import { Type, type Static } from 'typebox';

/** An identifier on the wire: who and where, and how many ms ago it was fresh. */
export const PeerDescriptor = Type.Object({ who: Ident, age: Type.Number({ minimum: 0 }) }, { additionalProperties: false });
export type PeerDescriptor = Static<typeof PeerDescriptor>;
