import type { Member } from '../membership/member.js';
import type { View } from './view.js';
import { Views } from './views.js';

/** What a candidate or an introducer reports about itself in reply to `core.meet`. */
type MeetReply = { me: Member; took: View | null; met: readonly Member[] };
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
  /** The first view that this candidate may propose; null if it must not propose one. */
  firstView(candidates: readonly Member[], me: Member, toleratedLosses: number): View | null {
    const voters = candidates.slice(0, 2 * toleratedLosses + 1);
    if (voters.length !== 2 * toleratedLosses + 1 || !Views.sameMember(candidates[0], me)) return null;
    return { epoch: 1, voters, chain: voters };
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
