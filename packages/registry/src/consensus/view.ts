import { Type, type Static } from 'typebox';
import { Member } from '../membership/member.js';
import { ViewLimits } from './viewlimits.js';

const members = { maxItems: ViewLimits.maxChainLength };

/**
 * The agreed configuration of the control replicas. The chain runs from its head (first) to its tail (last).
 * Invariants: there is one view per epoch, chosen by a majority of the voters of the epoch before; voters change by one
 * member at a time; a newcomer is in the chain before it becomes a voter. The head is complete, that is, not among
 * `joining`. While fewer members are complete than a majority of the voters, nothing is committed, and complete members
 * that were removed are kept in `reserve`; so everything committed is on the disk of every complete member and of every
 * member in reserve.
 */
export const View = Type.Object(
  {
    epoch: Type.Integer({ minimum: 1 }),
    voters: Type.Array(Member, { minItems: 1, maxItems: ViewLimits.maxVoters }),
    chain: Type.Array(Member, { minItems: 1, maxItems: ViewLimits.maxChainLength }),
    joining: Type.Optional(
      Type.Array(Member, { ...members, description: 'chain members not known to hold everything that was committed' }),
    ),
    reserve: Type.Optional(
      Type.Array(Member, {
        ...members,
        description: 'members outside the chain that hold everything that was committed',
      }),
    ),
  },
  { additionalProperties: false },
);
export type View = Static<typeof View>;
