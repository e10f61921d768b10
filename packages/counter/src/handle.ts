import { Addr } from '@pumicebarrow/forms';
import { Type, type Static } from 'typebox';

/**
 * A hold on prompt memory. Invariant: good only for this key and attempt, at this life of this server,
 * for exactly this prefix, part and pieces already written; checked here and by the decode server.
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
    after: Type.Optional(
      Type.Object(
        { count: Type.Integer({ minimum: 1 }), digest: Type.String() },
        { additionalProperties: false, description: 'the pieces read with the prompt, after which writing goes on' },
      ),
    ),
  },
  { additionalProperties: false },
);
export type Handle = Static<typeof Handle>;
