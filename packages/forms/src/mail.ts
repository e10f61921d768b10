import { Type, type Static } from 'typebox';
import { Ident } from './ident.js';

/**
 * What one daemon says to another. `to` names the identity meant, or '' when only an address is known.
 * `v` is the release's voice: neighbours differ by one at the most, and a newer one may only add keys.
 */
export const Mail = Type.Object(
  {
    v: Type.Integer({ minimum: 1, maximum: 1000 }),
    to: Type.String({ maxLength: 60 }),
    from: Ident,
    kind: Type.String({ maxLength: 40 }),
    body: Type.Unknown(),
  },
  { additionalProperties: false },
);
export type Mail = Static<typeof Mail>;
