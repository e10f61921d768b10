import { Addr } from '@pumicebarrow/forms';
import { Type, type Static } from 'typebox';

/**
 * Reference to the KV cache that a prefill server computed for a prompt. Invariant: valid only for this key and
 * attempt, this incarnation (`born`) of the server, and exactly this prefix and part (`digest`); this is checked by the
 * daemon and by the decode server.
 */
export const KvCacheHandle = Type.Object(
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
export type KvCacheHandle = Static<typeof KvCacheHandle>;
