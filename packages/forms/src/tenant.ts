import { Type, type Static } from 'typebox';

/**
 * Whose requests are served, and by which keys they are known. Invariants: a key is held by one tenant at the most; it
 * stands here as its digest (`KeyDigest`), never as itself.
 */
export const Tenant = Type.Object(
  {
    // What servers are told in a header: visible characters, with spaces between them alone.
    name: Type.String({ pattern: '^[!-~]([ -~]*[!-~])?$', maxLength: 120 }),
    rank: Type.Optional(Type.Integer({ minimum: 0, maximum: 1000, description: 'goes before the rank of the route' })),
    keys: Type.Array(Type.String({ minLength: 1, maxLength: 64 }), { maxItems: 256 }),
  },
  { additionalProperties: false },
);
export type Tenant = Static<typeof Tenant>;
