import type { Chain } from '../chain/chain.js';
import type { FailureDetector } from './failuredetector.js';
import type { Member } from './member.js';
import { CoreTimings } from '../coretimings.js';
import type { ViewChanger } from '../consensus/viewchanger.js';
import type { View } from '../consensus/view.js';
import { NextViews } from '../consensus/nextviews.js';
import { Views } from '../consensus/views.js';

/** ms without a lease, though all are heard, after which the view is made anew. */
const LAME = 2 * CoreTimings.suspectAfterMs;
/** ms for which a member that is heard may leave our beats without a reply: what is sent to it is lost. */
const DEAF = 2 * CoreTimings.suspectAfterMs;

/**
 * What a member of the chain that votes does about the others: those that are silent, deaf or sick go out of the
 * chain, and a vote goes to a member that has caught up. Invariants: the vote of a daemon goes to its heir of the
 * same id, if that stands in the chain, and else only once its owner is out of the chain and silent, or leaves. A
 * change that was promised and then given up bars every lease for good; so whoever goes long without makes the view
 * anew.
 */
export const RepairTask = {
  make(me: () => Member, mono: () => number, detector: FailureDetector, viewChanger: ViewChanger, chain: Chain) {
    const mine = (m: Member): boolean => Views.same(m, me());
    const unwell = (m: Member): boolean => detector.lastHeartbeat(m)?.sick === true || detector.hasLostDisk(m);
    /** One that a majority does not reply to is cut off itself, and can't tell who else is. */
    const replied = (v: View): boolean =>
      v.voters.filter((m) => mine(m) || detector.unansweredForMs(m) < CoreTimings.suspectAfterMs).length >=
      Views.most(v);
    const late = (v: View, m: Member, turn: number): boolean =>
      detector.silentForMs(m) > CoreTimings.suspectAfterMs + turn ||
      (detector.unansweredForMs(m) > DEAF + turn && replied(v));
    const gone = (v: View, m: Member): boolean => unwell(m) || late(v, m, 0);
    const isFresh = (v: View, m: Member): boolean => {
      const h = detector.lastHeartbeat(m);
      return h?.fresh === true && h.epoch === v.epoch;
    };
    /** Members without a vote that hold all of this view. */
    const caught = (v: View): Member[] => v.chain.filter((m) => !mine(m) && !Views.votes(v, m) && isFresh(v, m));
    const known = (v: View) => ({
      fresh: (m: Member): boolean => (mine(m) ? chain.fresh() : isFresh(v, m)),
      emptied: (m: Member): boolean => detector.hasLostDisk(m),
    });
    const propose = (v: View, next: View | null, why: string): void => {
      if (next) void viewChanger.propose(v.voters, next, why);
    };
    /** A member of the reserve as the head, if one is heard and all complete members of the chain are away. */
    const promotion = (v: View, away: readonly Member[]): View | null => {
      const heard = (m: Member): boolean =>
        mine(m) || (detector.silentForMs(m) < CoreTimings.suspectAfterMs && !unwell(m));
      const heir = (v.reserve ?? []).find(heard);
      return heir ? NextViews.promoting(v, heir, away, known(v)) : null;
    };
    const shorten = (v: View, list: readonly Member[]): void => {
      const up = v.voters.filter((m) => mine(m) || detector.silentForMs(m) < CoreTimings.suspectAfterMs);
      const turn = up.findIndex(mine) * 300;
      const due = list.find((m) => unwell(m) || late(v, m, turn));
      if (!due) return;
      const how = detector.lastHeartbeat(due)?.sick
        ? 'sick'
        : detector.hasLostDisk(due)
          ? 'emptied'
          : detector.silentForMs(due) > CoreTimings.suspectAfterMs
            ? 'silent'
            : 'deaf';
      const why = `${list.map((m) => m.id).join(', ')}: ${how}.`;
      propose(v, NextViews.without(v, list, known(v)) ?? promotion(v, list), why);
    };
    /** Who takes whose vote, if there is such a change to be made. */
    const handing = (v: View): { heir: Member; old: Member } | null => {
      const list = caught(v);
      for (const heir of list) {
        const old = v.voters.find((x) => x.id === heir.id);
        if (old) return { heir, old };
      }
      const named = (x: Member): boolean => v.chain.some((m) => m.id === x.id);
      const old = v.voters.find((x) => !mine(x) && !named(x) && detector.silentForMs(x) > CoreTimings.suspectAfterMs);
      return list[0] && old ? { heir: list[0], old } : null;
    };
    let since: number | null = null;
    const renew = (v: View): void => {
      const turn = v.voters.findIndex(mine) * 300;
      if (detector.holdsLease(v)) since = null;
      else since ??= mono();
      if (since === null || mono() - since <= LAME + turn) return;
      since = null;
      propose(v, NextViews.without(v, [], known(v)), 'No lease was granted, though all are heard.');
    };
    /** Records as complete those that have caught up, where nothing is confirmed before that. */
    const complete = (v: View): void => {
      const most = Views.most(v);
      if (Views.complete(v).length >= most || !mine(Views.head(v))) return;
      const next = NextViews.without(v, [], known(v));
      if (next && Views.complete(next).length >= most) propose(v, next, 'Enough members are complete again.');
    };
    return {
      /** The view in which a member that asks to join stands at the tail; null if there is none. */
      viewWithNewcomer: (v: View, m: Member): View | null => NextViews.withTail(v, m, known(v)),
      /** What a member of the reserve does: it becomes the head once the whole chain that could lead is away. */
      takeOverFromReserve(v: View): void {
        if (viewChanger.isBusy() || !Views.votes(v, me()) || !Views.isInReserve(v, me())) return;
        const away = v.chain.filter((m) => gone(v, m));
        propose(v, promotion(v, away), `${me().id} leads from the reserve.`);
      },
      checkMembers(v: View): void {
        if (viewChanger.isBusy() || !Views.votes(v, me())) return;
        const mates = v.chain.filter((m) => !mine(m));
        const list = mates.filter((m) => gone(v, m));
        if (list.length > 0) {
          shorten(v, list);
          return;
        }
        renew(v);
        if (viewChanger.isBusy()) return;
        const hand = handing(v);
        if (hand) {
          const why = `${hand.heir.id} has caught up and votes.`;
          propose(v, NextViews.withVoter(v, hand.heir, hand.old, known(v)), why);
          return;
        }
        complete(v);
        if (viewChanger.isBusy()) return;
        const behind = mates.some((m) => {
          const h = detector.lastHeartbeat(m);
          return h && !h.fresh && h.epoch === v.epoch;
        });
        if (Views.same(Views.head(v), me()) && behind) chain.resync();
      },
      /** Proposes the view without this daemon; its vote goes along if there is one to take it. */
      async leave(v: View): Promise<boolean> {
        const next = NextViews.without(v, [me()], known(v));
        if (!next || Views.complete(next).length < Views.most(v)) return false;
        const heir = Views.votes(v, me()) ? caught(v)[0] : undefined;
        const voters = heir ? v.voters.map((x) => (mine(x) ? heir : x)) : v.voters;
        return viewChanger.propose(v.voters, { ...next, voters }, `${me().id} leaves.`);
      },
    };
  },
};
