import type { Member } from '../membership/member.js';
import type { View } from './view.js';
import { Views } from './views.js';

/** What a candidate or an introducer tells of itself when it is met. */
type MeetReply = { me: Member; took: View | null; met: readonly Member[] };
const serialize = (members: readonly Member[]): string => JSON.stringify(members.map((m) => [m.id, m.born, m.addr]));

/**
 * What may become the first view, as pure functions of what candidates know and were told.
 * Invariants: of two proposers one knows the other, as each heard more than half of the seeds in its turn, and each
 * seed tells of all that met it; only the first candidate by name proposes, and only what every candidate agrees on.
 */
export const BootstrapRules = {
  /** Candidates in the one order that all of them use. */
  ordered: (candidates: readonly Member[]): Member[] => [...candidates].sort((a, b) => (a.id < b.id ? -1 : 1)),
  /** Whether more than half of the seeds replied; a daemon that is a seed itself counts as one of them. */
  heardSeeds(seeds: readonly string[], ownAddress: string, replied: readonly string[]): boolean {
    const replying = seeds.filter((addr) => addr === ownAddress || replied.includes(addr));
    return replying.length * 2 > seeds.length || seeds.length === 0;
  },
  /** Whether everyone that replied knows these candidates and no other, each candidate in the same words. */
  agreed(candidates: readonly Member[], me: Member, replies: readonly MeetReply[]): boolean {
    const knownCandidates = new Set(candidates.map((m) => serialize([m])));
    const noOthers = replies.every((r) => r.took === null && r.met.every((m) => knownCandidates.has(serialize([m]))));
    const confirmed = (m: Member): boolean =>
      Views.same(m, me) || replies.some((r) => Views.same(r.me, m) && serialize(r.met) === serialize(candidates));
    return noOthers && candidates.every(confirmed);
  },
  /** The first view that this candidate may propose; null where it may propose none. */
  firstView(candidates: readonly Member[], me: Member, toleratedLosses: number): View | null {
    const voters = candidates.slice(0, 2 * toleratedLosses + 1);
    if (voters.length !== 2 * toleratedLosses + 1 || !Views.same(candidates[0], me)) return null;
    return { epoch: 1, voters, chain: voters };
  },
  /** Whether a round put to all candidates ends here: one of them took a view that its voters go on with alone. */
  isTakenOver: (candidates: number, voters: number, hasAcceptedView: boolean): boolean =>
    hasAcceptedView && candidates > voters,
  /** Promises that a round for the first view needs: of all candidates, unless a view was taken before. */
  promisesNeeded: (candidates: number, voters: number, hasAcceptedView: boolean): number =>
    hasAcceptedView ? Math.floor(voters / 2) + 1 : candidates,
};
