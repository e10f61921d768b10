import { Type, type Static } from 'typebox';
import { View } from './view.js';

/**
 * What a voter is bound to for one epoch (the state of a Paxos acceptor). Invariants: written to disk before the voter
 * replies; `promised`, the highest ballot promised, only rises; `took` is the view of the highest ballot accepted.
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
