import type { Chain } from '../chain/chain.js';
import type { FailureDetector } from './failuredetector.js';
import type { Member } from './member.js';
import { CoreTimings } from '../coretimings.js';
import type { ViewChanger } from '../consensus/viewchanger.js';
import type { View } from '../consensus/view.js';
import { NextViews } from '../consensus/nextviews.js';
import type { VotePlacer } from './voteplacer.js';
import { Views } from '../consensus/views.js';

/** Time without a lease, though heartbeats arrive from all members, after which the view is renewed. */
const NO_LEASE_TIMEOUT_MS = 2 * CoreTimings.suspectAfterMs;
/** Time for which a member whose heartbeats arrive may leave ours unanswered: our messages to it are lost. */
const UNANSWERED_TIMEOUT_MS = 2 * CoreTimings.suspectAfterMs;

/**
 * How a voter in the chain repairs the view: silent, unresponsive or unhealthy members are removed from the chain, and
 * votes go to members that have caught up. Invariants: a daemon's vote goes to a chain member with the same id, if
 * there is one; otherwise only once its owner is out of the chain and silent, or leaves. A view change that was
 * promised and then abandoned blocks every lease for good, so a voter that gets no lease for a long time renews the
 * view. While all voters are in the chain, a vote also goes to a member in another zone if the tolerated losses then
 * leave more voters.
 */
export const RepairTask = {
  make(
    me: () => Member,
    mono: () => number,
    detector: FailureDetector,
    viewChanger: ViewChanger,
    chain: Chain,
    votes: VotePlacer,
  ) {
    const isSelf = (member: Member): boolean => Views.sameMember(member, me());
    const isFaulty = (member: Member): boolean =>
      detector.lastHeartbeat(member)?.sick === true || detector.hasLostDisk(member);
    /** A member that a majority does not answer is cut off itself and cannot tell which others are. */
    const majorityReplies = (view: View): boolean =>
      view.voters.filter((m) => isSelf(m) || detector.unansweredForMs(m) < CoreTimings.suspectAfterMs).length >=
      Views.majority(view);
    const isUnresponsive = (view: View, member: Member, delayMs: number): boolean =>
      detector.silentForMs(member) > CoreTimings.suspectAfterMs + delayMs ||
      (detector.unansweredForMs(member) > UNANSWERED_TIMEOUT_MS + delayMs && majorityReplies(view));
    const shouldRemove = (view: View, member: Member): boolean => isFaulty(member) || isUnresponsive(view, member, 0);
    const isCaughtUp = (view: View, member: Member): boolean => {
      const heartbeat = detector.lastHeartbeat(member);
      return heartbeat?.fresh === true && heartbeat.epoch === view.epoch;
    };
    /** Chain members without a vote that hold the whole state of this view. */
    const caughtUpNonVoters = (view: View): Member[] =>
      view.chain.filter((m) => !isSelf(m) && !Views.isVoter(view, m) && isCaughtUp(view, m));
    const knowledge = (view: View) => ({
      fresh: (m: Member): boolean => (isSelf(m) ? chain.fresh() : isCaughtUp(view, m)),
      emptied: (m: Member): boolean => detector.hasLostDisk(m),
    });
    const propose = (view: View, next: View | null, reason: string): void => {
      if (next) void viewChanger.propose(view.voters, next, reason);
    };
    /** Makes a reachable member of the reserve the head, if all complete chain members are unavailable. */
    const reserveTakeover = (view: View, away: readonly Member[]): View | null => {
      const isReachable = (m: Member): boolean =>
        isSelf(m) || (detector.silentForMs(m) < CoreTimings.suspectAfterMs && !isFaulty(m));
      const newHead = (view.reserve ?? []).find(isReachable);
      return newHead ? NextViews.withReserveAsHead(view, newHead, away, knowledge(view)) : null;
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
      propose(view, NextViews.withoutMembers(view, faulty, knowledge(view)) ?? reserveTakeover(view, faulty), reason);
    };
    /** Which vote should be transferred to which member; null if none. */
    const voteTransfer = (view: View): { newVoter: Member; oldVoter: Member } | null => {
      const caughtUp = caughtUpNonVoters(view);
      for (const newVoter of caughtUp) {
        const oldVoter = view.voters.find((x) => x.id === newVoter.id);
        if (oldVoter) return { newVoter, oldVoter };
      }
      const hasNamesake = (x: Member): boolean => view.chain.some((m) => m.id === x.id);
      const oldVoter = view.voters.find(
        (x) => !isSelf(x) && !hasNamesake(x) && detector.silentForMs(x) > CoreTimings.suspectAfterMs,
      );
      if (!oldVoter) return votes.bestSwap(view, caughtUp);
      const newVoter = votes.bestSuccessor(view, caughtUp, oldVoter);
      return newVoter && { newVoter, oldVoter };
    };
    let noLeaseSince: number | null = null;
    const renewView = (view: View): void => {
      const delayMs = view.voters.findIndex(isSelf) * 300;
      if (detector.holdsLease(view)) noLeaseSince = null;
      else noLeaseSince ??= mono();
      if (noLeaseSince === null || mono() - noLeaseSince <= NO_LEASE_TIMEOUT_MS + delayMs) return;
      noLeaseSince = null;
      propose(
        view,
        NextViews.withoutMembers(view, [], knowledge(view)),
        'No lease was granted, though heartbeats arrive from all members.',
      );
    };
    /** Records members that have caught up as complete, where nothing can be committed before that. */
    const recordCompletion = (view: View): void => {
      const majority = Views.majority(view);
      if (Views.completeMembers(view).length >= majority || !isSelf(Views.head(view))) return;
      const next = NextViews.withoutMembers(view, [], knowledge(view));
      if (next && Views.completeMembers(next).length >= majority)
        propose(view, next, 'Enough members are complete again.');
    };
    return {
      /** The view with a joining member at the tail; null if there is no room for it. */
      viewWithNewcomer(view: View, newcomer: Member): View | null {
        if (Views.hasRoomFor(view, newcomer)) return NextViews.withTail(view, newcomer, knowledge(view));
        const dispensable = votes.dispensableMember(view, newcomer);
        return dispensable && NextViews.withTailInPlaceOf(view, newcomer, dispensable, knowledge(view));
      },
      /** Run by a member of the reserve: it becomes the head once every chain member that could lead is unavailable. */
      takeOverFromReserve(view: View): void {
        if (viewChanger.isBusy() || !Views.isVoter(view, me()) || !Views.isInReserve(view, me())) return;
        const away = view.chain.filter((m) => shouldRemove(view, m));
        propose(view, reserveTakeover(view, away), `${me().id} takes over as head from the reserve.`);
      },
      /** Run by a voter in the chain at each heartbeat interval: proposes at most one repair. */
      checkMembers(view: View): void {
        if (viewChanger.isBusy() || !Views.isVoter(view, me())) return;
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
          const reason = `${transfer.newVoter.id} has caught up and takes the vote of ${transfer.oldVoter.id}.`;
          propose(view, NextViews.withVoter(view, transfer.newVoter, transfer.oldVoter, knowledge(view)), reason);
          return;
        }
        recordCompletion(view);
        if (viewChanger.isBusy()) return;
        if (isSelf(Views.head(view))) votes.warnIfUnbearable(view, mono());
        const behind = peers.some((m) => {
          const heartbeat = detector.lastHeartbeat(m);
          return heartbeat && !heartbeat.fresh && heartbeat.epoch === view.epoch;
        });
        if (Views.sameMember(Views.head(view), me()) && behind) chain.resync();
      },
      /** Proposes the view without this daemon; its vote goes to a caught-up member if there is one. */
      async leave(view: View): Promise<boolean> {
        const next = NextViews.withoutMembers(view, [me()], knowledge(view));
        if (!next || Views.completeMembers(next).length < Views.majority(view)) return false;
        const newVoter = Views.isVoter(view, me()) ? votes.bestSuccessor(view, caughtUpNonVoters(view), me()) : null;
        const voters = newVoter ? view.voters.map((x) => (isSelf(x) ? newVoter : x)) : view.voters;
        return viewChanger.propose(view.voters, { ...next, voters }, `${me().id} leaves.`);
      },
    };
  },
};
