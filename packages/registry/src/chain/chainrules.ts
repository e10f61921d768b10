import type { Member } from '../membership/member.js';
import type { View } from '../consensus/view.js';
import { Views } from '../consensus/views.js';

type Identity = { id: string; born: string };
type Held = { /** The epoch in which it last took in a state; 0 for none. */ fresh: number; seq: number };

/** What a member of the chain may do, as pure functions of its view. */
export const ChainRules = {
  /** Whether what all of the chain hold outlives the losses to be borne; only then is it confirmed or shown. */
  enough: (view: View): boolean => Views.complete(view).length >= Views.most(view),
  /** Whether a state handed down is taken in. A stray one of an older view may be newer: it never passed. */
  takes(view: View, me: Identity, from: Identity, epoch: number, held: Held, seq: number): boolean {
    const positionOfSelf = Views.place(view, me);
    if (view.epoch !== epoch || positionOfSelf < 1 || !Views.same(view.chain[positionOfSelf - 1], from)) return false;
    return held.fresh !== view.epoch || seq >= held.seq;
  },
  /** Whether a voter counts a beat of a chain member as asking for a lease. */
  mayLease: (view: View, epoch: number, holder: Identity, voter: Member): boolean =>
    view.epoch === epoch && Views.place(view, holder) >= 0 && Views.votes(view, voter),
};
