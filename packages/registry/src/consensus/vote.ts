import { Type, type Static } from 'typebox';
import { View } from './view.js';

/**
 * What a voter has bound itself to for one epoch.
 * Invariants: on disk before it is said; `promised` only rises; `took` is the value of the highest ballot accepted.
 */
export const Vote = Type.Object(
  {
    epoch: Type.Integer({ minimum: 1 }),
    promised: Type.Integer({ minimum: 0 }),
    took: Type.Union([
      Type.Null(),
      Type.Object({ ballot: Type.Integer(), view: View }, { additionalProperties: false }),
    ]),
  },
  { additionalProperties: false },
);
export type Vote = Static<typeof Vote>;
