import type { Member } from '../membership/member.js';
import type { View } from './view.js';
import { Views } from './views.js';

type Identity = { id: string; born: string };
/** What the proposer knows about the members of the present view. */
type Knowledge = {
  /** Whether the member has the state of the present view on its disk. */
  fresh: (m: Member) => boolean;
  /** Whether the member's disk is known to be lost. */
  emptied: (m: Member) => boolean;
};

const includes = (members: readonly Member[], identity: Identity): boolean =>
  members.some((m) => Views.sameMember(m, identity));

/**
 * The view after `view` with the given chain; null if its head would not be complete. Invariant: while there are too
 * few complete members, every complete member of `view` that leaves the chain is kept in reserve, unless its disk is
 * lost.
 */
const nextView = (
  view: View,
  chain: readonly Member[],
  knowledge: Knowledge,
  complete: readonly Member[],
): View | null => {
  const joining = chain.filter((m) => !includes(complete, m));
  if (!chain[0] || includes(joining, chain[0])) return null;
  const enough = chain.length - joining.length >= Views.majority(view);
  const holders = [...Views.completeMembers(view), ...(view.reserve ?? [])];
  const reserve = enough ? [] : holders.filter((m) => !includes(complete, m) && !knowledge.emptied(m));
  return {
    ...{ epoch: view.epoch + 1, voters: view.voters, chain: [...chain] },
    ...(joining.length > 0 ? { joining } : {}),
    ...(reserve.length > 0 ? { reserve } : {}),
  };
};
/** Chain members that are complete by now. */
const completeNow = (view: View, knowledge: Knowledge): Member[] =>
  view.chain.filter((m) => includes(Views.completeMembers(view), m) || knowledge.fresh(m));

/** The views that may be proposed after a given one. Null if no such view keeps everything that was committed. */
export const NextViews = {
  /** Removes some members; with an empty list, renews the view with the same chain. */
  withoutMembers(view: View, removed: readonly Identity[], knowledge: Knowledge): View | null {
    const chain = view.chain.filter((m) => !removed.some((w) => Views.sameMember(m, w)));
    const complete = completeNow(view, knowledge).filter((m) => includes(chain, m));
    return nextView(view, chain, knowledge, complete);
  },
  /** Adds a member at the tail; any other member with the same id is removed. */
  withTail(view: View, newcomer: Member, knowledge: Knowledge): View | null {
    const chain = [...view.chain.filter((x) => x.id !== newcomer.id), newcomer];
    const complete = completeNow(view, knowledge).filter((x) => x.id !== newcomer.id);
    const next = nextView(view, chain, knowledge, complete);
    return next && { ...next, voters: view.voters.map((x) => (Views.sameMember(x, newcomer) ? newcomer : x)) };
  },
  /**
   * Adds a member at the tail in the place of another one; null if too few complete members would remain. Used where
   * there is no room for a newcomer that may take a vote, and `removed` has none.
   */
  withTailInPlaceOf(view: View, newcomer: Member, removed: Identity, knowledge: Knowledge): View | null {
    const chain = view.chain.filter((m) => !Views.sameMember(m, removed));
    const next = NextViews.withTail({ ...view, chain }, newcomer, knowledge);
    return next && Views.completeMembers(next).length >= Views.majority(view) ? next : null;
  },
  /** Gives another member's vote to a chain member that has caught up. */
  withVoter(view: View, newVoter: Member, oldVoter: Identity, knowledge: Knowledge): View | null {
    const next = nextView(view, view.chain, knowledge, completeNow(view, knowledge));
    return next && { ...next, voters: view.voters.map((x) => (Views.sameMember(x, oldVoter) ? newVoter : x)) };
  },
  /**
   * Makes a member of the reserve the head; null unless all complete chain members are unavailable. Those go to the
   * reserve: nothing is committed in a view with a reserve, so all of them hold the same state.
   */
  withReserveAsHead(view: View, newHead: Member, away: readonly Member[], knowledge: Knowledge): View | null {
    if (!Views.isInReserve(view, newHead) || !completeNow(view, knowledge).every((x) => includes(away, x))) return null;
    const others = view.chain.filter((x) => !includes(away, x) && x.id !== newHead.id);
    return nextView(view, [newHead, ...others], knowledge, [newHead]);
  },
};
