import { Type, type Static } from 'typebox';
import { Member } from '../membership/member.js';
import { ViewLimits } from './viewlimits.js';

/**
 * The agreed order of the core. The chain runs from its head (first) to its tail (last).
 * Invariants: one view an epoch, chosen by a majority of the voters of the epoch before;
 * voters change by one member at a time; a newcomer is in the chain before it is a voter.
 */
export const View = Type.Object(
  {
    epoch: Type.Integer({ minimum: 1 }),
    voters: Type.Array(Member, { minItems: 3, maxItems: ViewLimits.voters }),
    chain: Type.Array(Member, { minItems: 1, maxItems: ViewLimits.chain }),
  },
  { additionalProperties: false },
);
export type View = Static<typeof View>;
