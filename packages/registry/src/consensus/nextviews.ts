import type { Member } from '../membership/member.js';
import type { View } from './view.js';
import { Views } from './views.js';

type Identity = { id: string; born: string };
/** What the proposer knows of the members of the present view. */
type Knowledge = {
  /** Whether it holds the state of the present view on its disk. */
  fresh: (m: Member) => boolean;
  /** Whether its disk is known to be lost. */
  emptied: (m: Member) => boolean;
};

const includes = (members: readonly Member[], identity: Identity): boolean =>
  members.some((m) => Views.same(m, identity));

/**
 * The view after `v` with the given chain; null if its head would not be complete.
 * Invariant: with too few complete members, every complete member of `v` that goes is kept in reserve, but for those
 * whose disks are lost.
 */
const nextView = (
  view: View,
  chain: readonly Member[],
  knowledge: Knowledge,
  complete: readonly Member[],
): View | null => {
  const joining = chain.filter((m) => !includes(complete, m));
  if (!chain[0] || includes(joining, chain[0])) return null;
  const enough = chain.length - joining.length >= Views.most(view);
  const holders = [...Views.complete(view), ...(view.reserve ?? [])];
  const reserve = enough ? [] : holders.filter((m) => !includes(complete, m) && !knowledge.emptied(m));
  return {
    ...{ epoch: view.epoch + 1, voters: view.voters, chain: [...chain] },
    ...(joining.length > 0 ? { joining } : {}),
    ...(reserve.length > 0 ? { reserve } : {}),
  };
};
/** Those of the chain that are complete by now. */
const completeNow = (view: View, knowledge: Knowledge): Member[] =>
  view.chain.filter((m) => includes(Views.complete(view), m) || knowledge.fresh(m));

/** The views that may be proposed to follow one. Null where there is no such view that keeps what was confirmed. */
export const NextViews = {
  /** Without some members; with none named, the same chain anew. */
  without(view: View, removed: readonly Identity[], knowledge: Knowledge): View | null {
    const chain = view.chain.filter((m) => !removed.some((w) => Views.same(m, w)));
    const complete = completeNow(view, knowledge).filter((m) => includes(chain, m));
    return nextView(view, chain, knowledge, complete);
  },
  /** With a member at the tail; whatever stood there under the same id goes. */
  withTail(view: View, newcomer: Member, knowledge: Knowledge): View | null {
    const chain = [...view.chain.filter((x) => x.id !== newcomer.id), newcomer];
    const complete = completeNow(view, knowledge).filter((x) => x.id !== newcomer.id);
    const next = nextView(view, chain, knowledge, complete);
    return next && { ...next, voters: view.voters.map((x) => (Views.same(x, newcomer) ? newcomer : x)) };
  },
  /** A caught-up chain member takes another's vote. */
  withVoter(view: View, newVoter: Member, oldVoter: Identity, knowledge: Knowledge): View | null {
    const next = nextView(view, view.chain, knowledge, completeNow(view, knowledge));
    return next && { ...next, voters: view.voters.map((x) => (Views.same(x, oldVoter) ? newVoter : x)) };
  },
  /**
   * With a member of the reserve as the head; null unless all complete members of the chain are away. They go to the
   * reserve in its place: nothing is confirmed in a view that has one, so all of them hold the same.
   */
  promoting(view: View, newHead: Member, away: readonly Member[], knowledge: Knowledge): View | null {
    if (!Views.isInReserve(view, newHead) || !completeNow(view, knowledge).every((x) => includes(away, x))) return null;
    const others = view.chain.filter((x) => !includes(away, x) && x.id !== newHead.id);
    return nextView(view, [newHead, ...others], knowledge, [newHead]);
  },
};
