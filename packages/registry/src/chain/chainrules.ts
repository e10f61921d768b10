import type { Member } from '../membership/member.js';
import type { View } from '../consensus/view.js';
import { Views } from '../consensus/views.js';

type Who = { id: string; born: string };
type Held = { /** The epoch in which it last took in a state; 0 for none. */ fresh: number; seq: number };

/** What a member of the chain may do, as pure functions of its view. */
export const ChainRules = {
  /** Whether what all of the chain hold outlives the losses to be borne; only then is it confirmed or shown. */
  enough: (v: View): boolean => Views.complete(v).length >= Views.most(v),
  /** Whether a state handed down is taken in. A stray one of an older view may be newer: it never passed. */
  takes(v: View, me: Who, from: Who, epoch: number, held: Held, seq: number): boolean {
    const place = Views.place(v, me);
    if (v.epoch !== epoch || place < 1 || !Views.same(v.chain[place - 1], from)) return false;
    return held.fresh !== v.epoch || seq >= held.seq;
  },
  /** Whether a voter counts a beat of a chain member as asking for a lease. */
  mayLease: (v: View, epoch: number, holder: Who, voter: Member): boolean =>
    v.epoch === epoch && Views.place(v, holder) >= 0 && Views.votes(v, voter),
};
