import type { Member } from '../membership/member.js';
import type { MemberLocation } from '../membership/memberlocation.js';
import type { FaultTolerance } from './faulttolerance.js';
import { ViewLimits } from './viewlimits.js';

/** Where a member is; null if that is not known. */
type Locate = (member: Member) => MemberLocation | null;
type VoteSwap = { newVoter: Member; oldVoter: Member };

/** A member whose location is not known counts as alone in its zone and region. */
const keyOf = (member: Member, location: string | undefined): string => location ?? `/${member.id}/${member.born}`;
const votersFor = (losses: number): number => Math.min(2 * losses + 1, ViewLimits.maxVoters);
const largestSum = (keys: readonly string[], groups: number): number => {
  const counts = new Map<string, number>();
  for (const key of keys) counts.set(key, (counts.get(key) ?? 0) + 1);
  return [...counts.values()]
    .sort((a, b) => b - a)
    .slice(0, groups)
    .reduce((sum, count) => sum + count, 0);
};

/**
 * Places the votes of the control replicas so that a tolerated loss, of machines, zones or regions, leaves a majority
 * of the voters. Since a committed state is on the disk of every complete chain member, and the voters are in the
 * chain, such a loss also leaves a copy of everything committed.
 */
export const VoterPlacement = {
  /** The number of voters that a tolerance needs: a loss of the tolerated size leaves a majority of them. */
  voterCount: (tolerance: FaultTolerance): number =>
    votersFor(Math.max(tolerance.machines, tolerance.zones, tolerance.regions)),
  /** The fewest voters that bear the loss of the tolerated number of machines, whatever their zones. */
  leastVoterCount: (tolerance: FaultTolerance): number => votersFor(tolerance.machines),
  /** Whether any tolerated loss leaves a majority of the voters. */
  isTolerant: (voters: readonly Member[], tolerance: FaultTolerance, locate: Locate): boolean =>
    voters.length > 2 * Math.max(tolerance.machines, tolerance.zones, tolerance.regions) &&
    VoterPlacement.excess(voters, tolerance, locate) === 0,
  /**
   * How many voters more than a minority the worst tolerated loss of zones, and that of regions, takes away; 0 if every
   * such loss leaves a majority.
   */
  excess(voters: readonly Member[], tolerance: FaultTolerance, locate: Locate): number {
    const minority = Math.floor((voters.length - 1) / 2);
    const zones = voters.map((m) => keyOf(m, locate(m)?.zone));
    const regions = voters.map((m) => keyOf(m, locate(m)?.region));
    return (
      Math.max(0, largestSum(zones, tolerance.zones) - minority) +
      Math.max(0, largestSum(regions, tolerance.regions) - minority)
    );
  },
  /**
   * Chooses voters among candidates, who are in the order of their ids: spread over regions if a loss of regions is
   * tolerated, then over zones if a loss of zones is, then by id. The first candidate is always among them.
   */
  choose(candidates: readonly Member[], count: number, tolerance: FaultTolerance, locate: Locate): Member[] {
    const chosen: Member[] = [];
    const countOf = (member: Member, part: keyof MemberLocation): number => {
      const key = keyOf(member, locate(member)?.[part]);
      return chosen.filter((m) => keyOf(m, locate(m)?.[part]) === key).length;
    };
    const rank = (member: Member): number =>
      (tolerance.regions > 0 ? countOf(member, 'region') * candidates.length : 0) +
      (tolerance.zones > 0 ? countOf(member, 'zone') : 0);
    while (chosen.length < Math.min(count, candidates.length)) {
      const left = candidates.filter((m) => !chosen.includes(m));
      chosen.push(left.reduce((best, m) => (rank(m) < rank(best) ? m : best)));
    }
    return candidates.filter((m) => chosen.includes(m));
  },
  /**
   * The transfer of one vote, from one of `voters` to one of `newVoters`, after which the excess is lowest; null if
   * none lowers it.
   */
  bestSwap(
    voters: readonly Member[],
    newVoters: readonly Member[],
    tolerance: FaultTolerance,
    locate: Locate,
  ): VoteSwap | null {
    let lowest = VoterPlacement.excess(voters, tolerance, locate);
    let best: VoteSwap | null = null;
    if (lowest === 0) return null;
    for (const newVoter of newVoters)
      for (const oldVoter of voters) {
        const swapped = voters.map((m) => (m === oldVoter ? newVoter : m));
        const excess = VoterPlacement.excess(swapped, tolerance, locate);
        if (excess >= lowest) continue;
        lowest = excess;
        best = { newVoter, oldVoter };
      }
    return best;
  },
};
