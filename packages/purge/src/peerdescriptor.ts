import { Ident } from '@pumicebarrow/forms';
import { Type, type Static } from 'typebox';

/** A peer as exchanged by gossip: its identity and address, and the ms since the descriptor was created. */
export const PeerDescriptor = Type.Object(
  { who: Ident, age: Type.Number({ minimum: 0 }) },
  { additionalProperties: false },
);
export type PeerDescriptor = Static<typeof PeerDescriptor>;
