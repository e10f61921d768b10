import type { Member } from '../membership/member.js';
import type { MemberLocation } from '../membership/memberlocation.js';
import type { FaultTolerance } from './faulttolerance.js';
import type { View } from './view.js';
import { Views } from './views.js';
import { VoterPlacement } from './voterplacement.js';

/** What a candidate or an introducer reports about itself in reply to `core.meet`. */
type MeetReply = { me: Member; took: View | null; met: readonly Member[] };
type PlacementKnowledge = {
  tolerance: FaultTolerance;
  /** Where a candidate is; null if that is not known. */
  locate: (member: Member) => MemberLocation | null;
};
const serialize = (members: readonly Member[]): string => JSON.stringify(members.map((m) => [m.id, m.born, m.addr]));

/**
 * Decides what may become the first view, as pure functions of what candidates know. Invariants: of two proposers one
 * knows the other, because each received replies from more than half of the seeds and each seed reports every candidate
 * that contacted it; only the candidate with the lowest id proposes, and only what all candidates agree on.
 */
export const BootstrapRules = {
  /** Candidates by id, the order that all of them use. */
  sortedById: (candidates: readonly Member[]): Member[] => [...candidates].sort((a, b) => (a.id < b.id ? -1 : 1)),
  /** Whether more than half of the seeds replied. A daemon that is a seed counts itself. */
  seedMajorityReplied(seeds: readonly string[], ownAddress: string, replied: readonly string[]): boolean {
    const replying = seeds.filter((addr) => addr === ownAddress || replied.includes(addr));
    return replying.length * 2 > seeds.length || seeds.length === 0;
  },
  /** Whether every daemon that replied knows exactly these candidates, with the same incarnations and addresses. */
  candidatesAgree(candidates: readonly Member[], me: Member, replies: readonly MeetReply[]): boolean {
    const knownCandidates = new Set(candidates.map((m) => serialize([m])));
    const noOthers = replies.every((r) => r.took === null && r.met.every((m) => knownCandidates.has(serialize([m]))));
    const confirmed = (m: Member): boolean =>
      Views.sameMember(m, me) ||
      replies.some((r) => Views.sameMember(r.me, m) && serialize(r.met) === serialize(candidates));
    return noOthers && candidates.every(confirmed);
  },
  /**
   * The first view that this candidate may propose; null if it must not propose one. It has the number of voters that
   * the tolerated losses need, or fewer if there are not as many candidates, but always enough for the tolerated loss
   * of machines.
   */
  firstView(candidates: readonly Member[], me: Member, { tolerance, locate }: PlacementKnowledge): View | null {
    const least = VoterPlacement.leastVoterCount(tolerance);
    if (candidates.length < least || !Views.sameMember(candidates[0], me)) return null;
    const largestOdd = candidates.length - ((candidates.length + 1) % 2);
    const count = Math.min(VoterPlacement.voterCount(tolerance), Math.max(least, largestOdd));
    const voters = VoterPlacement.choose(candidates, count, tolerance, locate);
    return { epoch: 1, voters, chain: voters };
  },
  /** Whether a first view bears every tolerated loss, as far as it is known where its voters are. */
  bearsTolerance(view: View, { tolerance, locate }: PlacementKnowledge): boolean {
    if (tolerance.zones === 0 && tolerance.regions === 0) return true;
    return view.voters.every((m) => locate(m) !== null) && VoterPlacement.isTolerant(view.voters, tolerance, locate);
  },
  /**
   * Whether a round that asks all candidates must stop: one of them has accepted a view, which its voters now complete
   * alone.
   */
  isSuperseded: (candidates: number, voters: number, hasAcceptedView: boolean): boolean =>
    hasAcceptedView && candidates > voters,
  /**
   * Promises needed for the first view: from all candidates, or from a majority of the voters if a view was already
   * accepted.
   */
  promisesNeeded: (candidates: number, voters: number, hasAcceptedView: boolean): number =>
    hasAcceptedView ? Math.floor(voters / 2) + 1 : candidates,
};
