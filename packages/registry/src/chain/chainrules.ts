import type { Member } from '../membership/member.js';
import type { View } from '../consensus/view.js';
import { Views } from '../consensus/views.js';

type Identity = { id: string; born: string };
type Held = { /** The epoch in which a state was last received; 0 for none. */ fresh: number; seq: number };

/** What a chain member may do, as pure functions of its view. */
export const ChainRules = {
  /**
   * Whether a version held by the whole chain survives the tolerated number of losses. Only such a version is confirmed
   * or shown.
   */
  canCommit: (view: View): boolean => Views.completeMembers(view).length >= Views.majority(view),
  /**
   * Whether a state sent by `from` is accepted. Within one epoch the sequence number must not decrease. A member's own
   * state from an older view may have a higher number: it was never committed, so the new state replaces it.
   */
  acceptsState(view: View, me: Identity, from: Identity, epoch: number, held: Held, seq: number): boolean {
    const positionOfSelf = Views.positionOf(view, me);
    if (view.epoch !== epoch || positionOfSelf < 1 || !Views.sameMember(view.chain[positionOfSelf - 1], from))
      return false;
    return held.fresh !== view.epoch || seq >= held.seq;
  },
  /** Whether a voter treats this heartbeat from a chain member as a request for a lease on the view. */
  mayRequestLease: (view: View, epoch: number, holder: Identity, voter: Member): boolean =>
    view.epoch === epoch && Views.positionOf(view, holder) >= 0 && Views.isVoter(view, voter),
};
