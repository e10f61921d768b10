import { Addr } from '@pumicebarrow/forms';
import { Type, type Static } from 'typebox';

/**
 * A hold on prompt memory. Invariant: good only for this key and attempt, at this life of this server,
 * for exactly this prefix and part; checked here and by the decode server.
 */
export const Handle = Type.Object(
  {
    id: Type.String(),
    key: Type.String(),
    attempt: Type.Integer(),
    server: Type.String(),
    born: Type.String(),
    addr: Addr,
    digest: Type.String(),
  },
  { additionalProperties: false },
);
export type Handle = Static<typeof Handle>;
