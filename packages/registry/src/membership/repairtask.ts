import type { Chain } from '../chain/chain.js';
import type { FailureDetector } from './failuredetector.js';
import type { Member } from './member.js';
import { CoreTimings } from '../coretimings.js';
import type { ViewChanger } from '../consensus/viewchanger.js';
import type { View } from '../consensus/view.js';
import { NextViews } from '../consensus/nextviews.js';
import { Views } from '../consensus/views.js';

/** ms without a lease, though all are heard, after which the view is made anew. */
const NO_LEASE_TIMEOUT_MS = 2 * CoreTimings.suspectAfterMs;
/** ms for which a member that is heard may leave our beats without a reply: what is sent to it is lost. */
const UNANSWERED_TIMEOUT_MS = 2 * CoreTimings.suspectAfterMs;

/**
 * What a member of the chain that votes does about the others: those that are silent, deaf or sick go out of the
 * chain, and a vote goes to a member that has caught up. Invariants: the vote of a daemon goes to its heir of the
 * same id, if that stands in the chain, and else only once its owner is out of the chain and silent, or leaves. A
 * change that was promised and then given up bars every lease for good; so whoever goes long without makes the view
 * anew.
 */
export const RepairTask = {
  make(me: () => Member, mono: () => number, detector: FailureDetector, viewChanger: ViewChanger, chain: Chain) {
    const isSelf = (member: Member): boolean => Views.same(member, me());
    const isFaulty = (member: Member): boolean =>
      detector.lastHeartbeat(member)?.sick === true || detector.hasLostDisk(member);
    /** One that a majority does not reply to is cut off itself, and can't tell who else is. */
    const majorityReplies = (view: View): boolean =>
      view.voters.filter((m) => isSelf(m) || detector.unansweredForMs(m) < CoreTimings.suspectAfterMs).length >=
      Views.most(view);
    const isUnresponsive = (view: View, member: Member, delayMs: number): boolean =>
      detector.silentForMs(member) > CoreTimings.suspectAfterMs + delayMs ||
      (detector.unansweredForMs(member) > UNANSWERED_TIMEOUT_MS + delayMs && majorityReplies(view));
    const shouldRemove = (view: View, member: Member): boolean => isFaulty(member) || isUnresponsive(view, member, 0);
    const isFresh = (view: View, member: Member): boolean => {
      const heartbeat = detector.lastHeartbeat(member);
      return heartbeat?.fresh === true && heartbeat.epoch === view.epoch;
    };
    /** Members without a vote that hold all of this view. */
    const caughtUpNonVoters = (view: View): Member[] =>
      view.chain.filter((m) => !isSelf(m) && !Views.votes(view, m) && isFresh(view, m));
    const knowledge = (view: View) => ({
      fresh: (m: Member): boolean => (isSelf(m) ? chain.fresh() : isFresh(view, m)),
      emptied: (m: Member): boolean => detector.hasLostDisk(m),
    });
    const propose = (view: View, next: View | null, reason: string): void => {
      if (next) void viewChanger.propose(view.voters, next, reason);
    };
    /** A member of the reserve as the head, if one is heard and all complete members of the chain are away. */
    const reserveTakeover = (view: View, away: readonly Member[]): View | null => {
      const isReachable = (m: Member): boolean =>
        isSelf(m) || (detector.silentForMs(m) < CoreTimings.suspectAfterMs && !isFaulty(m));
      const newHead = (view.reserve ?? []).find(isReachable);
      return newHead ? NextViews.promoting(view, newHead, away, knowledge(view)) : null;
    };
    const removeMembers = (view: View, faulty: readonly Member[]): void => {
      const reachableVoters = view.voters.filter(
        (m) => isSelf(m) || detector.silentForMs(m) < CoreTimings.suspectAfterMs,
      );
      const delayMs = reachableVoters.findIndex(isSelf) * 300;
      const trigger = faulty.find((m) => isFaulty(m) || isUnresponsive(view, m, delayMs));
      if (!trigger) return;
      const cause = detector.lastHeartbeat(trigger)?.sick
        ? 'sick'
        : detector.hasLostDisk(trigger)
          ? 'emptied'
          : detector.silentForMs(trigger) > CoreTimings.suspectAfterMs
            ? 'silent'
            : 'deaf';
      const reason = `${faulty.map((m) => m.id).join(', ')}: ${cause}.`;
      propose(view, NextViews.without(view, faulty, knowledge(view)) ?? reserveTakeover(view, faulty), reason);
    };
    /** Who takes whose vote, if there is such a change to be made. */
    const voteTransfer = (view: View): { newVoter: Member; oldVoter: Member } | null => {
      const caughtUp = caughtUpNonVoters(view);
      for (const newVoter of caughtUp) {
        const oldVoter = view.voters.find((x) => x.id === newVoter.id);
        if (oldVoter) return { newVoter: newVoter, oldVoter: oldVoter };
      }
      const hasNamesake = (x: Member): boolean => view.chain.some((m) => m.id === x.id);
      const oldVoter = view.voters.find(
        (x) => !isSelf(x) && !hasNamesake(x) && detector.silentForMs(x) > CoreTimings.suspectAfterMs,
      );
      return caughtUp[0] && oldVoter ? { newVoter: caughtUp[0], oldVoter: oldVoter } : null;
    };
    let noLeaseSince: number | null = null;
    const renewView = (view: View): void => {
      const delayMs = view.voters.findIndex(isSelf) * 300;
      if (detector.holdsLease(view)) noLeaseSince = null;
      else noLeaseSince ??= mono();
      if (noLeaseSince === null || mono() - noLeaseSince <= NO_LEASE_TIMEOUT_MS + delayMs) return;
      noLeaseSince = null;
      propose(view, NextViews.without(view, [], knowledge(view)), 'No lease was granted, though all are heard.');
    };
    /** Records as complete those that have caught up, where nothing is confirmed before that. */
    const recordCompletion = (view: View): void => {
      const majority = Views.most(view);
      if (Views.complete(view).length >= majority || !isSelf(Views.head(view))) return;
      const next = NextViews.without(view, [], knowledge(view));
      if (next && Views.complete(next).length >= majority) propose(view, next, 'Enough members are complete again.');
    };
    return {
      /** The view in which a member that asks to join stands at the tail; null if there is none. */
      viewWithNewcomer: (view: View, newcomer: Member): View | null =>
        NextViews.withTail(view, newcomer, knowledge(view)),
      /** What a member of the reserve does: it becomes the head once the whole chain that could lead is away. */
      takeOverFromReserve(view: View): void {
        if (viewChanger.isBusy() || !Views.votes(view, me()) || !Views.isInReserve(view, me())) return;
        const away = view.chain.filter((m) => shouldRemove(view, m));
        propose(view, reserveTakeover(view, away), `${me().id} leads from the reserve.`);
      },
      checkMembers(view: View): void {
        if (viewChanger.isBusy() || !Views.votes(view, me())) return;
        const peers = view.chain.filter((m) => !isSelf(m));
        const faulty = peers.filter((m) => shouldRemove(view, m));
        if (faulty.length > 0) {
          removeMembers(view, faulty);
          return;
        }
        renewView(view);
        if (viewChanger.isBusy()) return;
        const transfer = voteTransfer(view);
        if (transfer) {
          const why = `${transfer.newVoter.id} has caught up and votes.`;
          propose(view, NextViews.withVoter(view, transfer.newVoter, transfer.oldVoter, knowledge(view)), why);
          return;
        }
        recordCompletion(view);
        if (viewChanger.isBusy()) return;
        const behind = peers.some((m) => {
          const heartbeat = detector.lastHeartbeat(m);
          return heartbeat && !heartbeat.fresh && heartbeat.epoch === view.epoch;
        });
        if (Views.same(Views.head(view), me()) && behind) chain.resync();
      },
      /** Proposes the view without this daemon; its vote goes along if there is one to take it. */
      async leave(view: View): Promise<boolean> {
        const next = NextViews.without(view, [me()], knowledge(view));
        if (!next || Views.complete(next).length < Views.most(view)) return false;
        const newVoter = Views.votes(view, me()) ? caughtUpNonVoters(view)[0] : undefined;
        const voters = newVoter ? view.voters.map((x) => (isSelf(x) ? newVoter : x)) : view.voters;
        return viewChanger.propose(view.voters, { ...next, voters }, `${me().id} leaves.`);
      },
    };
  },
};
