import type { Member } from '../membership/member.js';
import type { View } from './view.js';
import { Views } from './views.js';

type Who = { id: string; born: string };
/** What the proposer knows of the members of the present view. */
type Knowledge = {
  /** Whether it holds the state of the present view on its disk. */
  fresh: (m: Member) => boolean;
  /** Whether its disk is known to be lost. */
  emptied: (m: Member) => boolean;
};

const includes = (list: readonly Member[], w: Who): boolean => list.some((m) => Views.same(m, w));

/**
 * The view after `v` with the given chain; null if its head would not be complete.
 * Invariant: with too few complete members, every complete member of `v` that goes is kept in reserve, but for those
 * whose disks are lost.
 */
const following = (v: View, chain: readonly Member[], known: Knowledge, complete: readonly Member[]): View | null => {
  const joining = chain.filter((m) => !includes(complete, m));
  if (!chain[0] || includes(joining, chain[0])) return null;
  const enough = chain.length - joining.length >= Views.most(v);
  const holders = [...Views.complete(v), ...(v.reserve ?? [])];
  const reserve = enough ? [] : holders.filter((m) => !includes(complete, m) && !known.emptied(m));
  return {
    ...{ epoch: v.epoch + 1, voters: v.voters, chain: [...chain] },
    ...(joining.length > 0 ? { joining } : {}),
    ...(reserve.length > 0 ? { reserve } : {}),
  };
};
/** Those of the chain that are complete by now. */
const completeNow = (v: View, known: Knowledge): Member[] =>
  v.chain.filter((m) => includes(Views.complete(v), m) || known.fresh(m));

/** The views that may be proposed to follow one. Null where there is no such view that keeps what was confirmed. */
export const NextViews = {
  /** Without some members; with none named, the same chain anew. */
  without(v: View, list: readonly Who[], known: Knowledge): View | null {
    const chain = v.chain.filter((m) => !list.some((w) => Views.same(m, w)));
    const complete = completeNow(v, known).filter((m) => includes(chain, m));
    return following(v, chain, known, complete);
  },
  /** With a member at the tail; whatever stood there under the same id goes. */
  withTail(v: View, m: Member, known: Knowledge): View | null {
    const chain = [...v.chain.filter((x) => x.id !== m.id), m];
    const complete = completeNow(v, known).filter((x) => x.id !== m.id);
    const next = following(v, chain, known, complete);
    return next && { ...next, voters: v.voters.map((x) => (Views.same(x, m) ? m : x)) };
  },
  /** A caught-up chain member takes another's vote. */
  withVoter(v: View, m: Member, old: Who, known: Knowledge): View | null {
    const next = following(v, v.chain, known, completeNow(v, known));
    return next && { ...next, voters: v.voters.map((x) => (Views.same(x, old) ? m : x)) };
  },
  /**
   * With a member of the reserve as the head; null unless all complete members of the chain are away. They go to the
   * reserve in its place: nothing is confirmed in a view that has one, so all of them hold the same.
   */
  promoting(v: View, m: Member, away: readonly Member[], known: Knowledge): View | null {
    if (!Views.isInReserve(v, m) || !completeNow(v, known).every((x) => includes(away, x))) return null;
    const others = v.chain.filter((x) => !includes(away, x) && x.id !== m.id);
    return following(v, [m, ...others], known, [m]);
  },
};
