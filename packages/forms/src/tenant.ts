import { Type, type Static } from 'typebox';

/**
 * A tenant and its API keys. Invariants: a key belongs to at most one tenant; a key is stored as its digest
 * (`KeyDigest`), never in the clear.
 */
export const Tenant = Type.Object(
  {
    // Sent to servers in a header: printable ASCII characters, and no space at either end.
    name: Type.String({ pattern: '^[!-~]([ -~]*[!-~])?$', maxLength: 120 }),
    rank: Type.Optional(
      Type.Integer({ minimum: 0, maximum: 1000, description: 'priority, which overrides the rank of the route' }),
    ),
    keys: Type.Array(Type.String({ minLength: 1, maxLength: 64 }), { maxItems: 256 }),
  },
  { additionalProperties: false },
);
export type Tenant = Static<typeof Tenant>;
