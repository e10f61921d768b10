import type { Log } from '@pumicebarrow/forms';
import type { FaultTolerance } from '../consensus/faulttolerance.js';
import type { View } from '../consensus/view.js';
import { Views } from '../consensus/views.js';
import { VoterPlacement } from '../consensus/voterplacement.js';
import type { Member } from './member.js';
import type { MemberLocations } from './memberlocations.js';

/** How long a view may be without a better placement of its votes before that is reported. */
const REPORT_DELAY_MS = 10_000;

/**
 * Which members of a view should have its votes, by where they are. Invariant: it proposes to move the vote of an
 * available voter only while all voters are in the chain and located, and only if the tolerated losses then leave more
 * voters; so two replicas never move a vote to and fro.
 */
export const VotePlacer = {
  make(tolerance: FaultTolerance, locations: Pick<MemberLocations, 'locate'>, log: Log) {
    const { locate } = locations;
    let observed: { epoch: number; since: number; reported: boolean } | null = null;
    const isSettled = (view: View): boolean =>
      view.voters.every((m) => Views.positionOf(view, m) >= 0 && locate(m) !== null);
    const bestSwap = (view: View, newVoters: readonly Member[]): ReturnType<typeof VoterPlacement.bestSwap> =>
      isSettled(view) ? VoterPlacement.bestSwap(view.voters, newVoters.filter(locate), tolerance, locate) : null;
    return {
      /** A vote to move from an available voter to one of these members; null if none should move. */
      bestSwap,
      /** The member that should take the vote of a voter that leaves or is gone; null if there is none. */
      bestSuccessor(view: View, candidates: readonly Member[], oldVoter: { id: string; born: string }): Member | null {
        const excessWith = (newVoter: Member): number =>
          VoterPlacement.excess(
            view.voters.map((m) => (Views.sameMember(m, oldVoter) ? newVoter : m)),
            tolerance,
            locate,
          );
        return candidates.reduce<Member | null>(
          (best, m) => (best === null || excessWith(m) < excessWith(best) ? m : best),
          null,
        );
      },
      /**
       * A chain member that may give its place to a newcomer in a view without room: the newcomer should have a vote,
       * and this member neither has nor needs one.
       */
      dispensableMember(view: View, newcomer: Member): Member | null {
        if (bestSwap(view, [newcomer]) === null) return null;
        return view.chain.findLast((m) => !Views.isVoter(view, m) && bestSwap(view, [m]) === null) ?? null;
      },
      /** Reports a view whose votes no available member improves, though a tolerated loss would stop it. */
      warnIfUnbearable(view: View, now: number): void {
        if (observed?.epoch !== view.epoch) observed = { epoch: view.epoch, since: now, reported: false };
        if (observed.reported || now - observed.since < REPORT_DELAY_MS) return;
        observed.reported = true;
        if (VoterPlacement.isTolerant(view.voters, tolerance, locate)) return;
        const places = view.voters.map((m) => `${m.id} in ${locate(m)?.zone ?? 'an unknown zone'}`).join(', ');
        log.warn(
          `These control replicas do not bear every loss that the settings tolerate (${tolerance.machines} machines, ` +
            `${tolerance.zones} zones or ${tolerance.regions} regions): the core would stop. Voters: ${places}.`,
        );
      },
    };
  },
};
/** A vote placer as its users see it. */
export type VotePlacer = ReturnType<typeof VotePlacer.make>;
