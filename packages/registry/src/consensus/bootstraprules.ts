import type { Member } from '../membership/member.js';
import type { View } from './view.js';
import { Views } from './views.js';

/** What a candidate or an introducer tells of itself when it is met. */
type Met = { me: Member; took: View | null; met: readonly Member[] };
const text = (list: readonly Member[]): string => JSON.stringify(list.map((m) => [m.id, m.born, m.addr]));

/**
 * What may become the first view, as pure functions of what candidates know and were told.
 * Invariants: of two proposers one knows the other, as each heard more than half of the seeds in its turn, and each
 * seed tells of all that met it; only the first candidate by name proposes, and only what every candidate agrees on.
 */
export const BootstrapRules = {
  /** Candidates in the one order that all of them use. */
  ordered: (list: readonly Member[]): Member[] => [...list].sort((a, b) => (a.id < b.id ? -1 : 1)),
  /** Whether more than half of the seeds replied; a daemon that is a seed itself counts as one of them. */
  heardSeeds(seeds: readonly string[], own: string, replied: readonly string[]): boolean {
    const heard = seeds.filter((addr) => addr === own || replied.includes(addr));
    return heard.length * 2 > seeds.length || seeds.length === 0;
  },
  /** Whether everyone that replied knows these candidates and no other, each candidate in the same words. */
  agreed(list: readonly Member[], me: Member, replies: readonly Met[]): boolean {
    const names = new Set(list.map((m) => text([m])));
    const noneElse = replies.every((r) => r.took === null && r.met.every((m) => names.has(text([m]))));
    const same = (m: Member): boolean =>
      Views.same(m, me) || replies.some((r) => Views.same(r.me, m) && text(r.met) === text(list));
    return noneElse && list.every(same);
  },
  /** The first view that this candidate may propose; null where it may propose none. */
  firstView(list: readonly Member[], me: Member, losses: number): View | null {
    const voters = list.slice(0, 2 * losses + 1);
    if (voters.length !== 2 * losses + 1 || !Views.same(list[0], me)) return null;
    return { epoch: 1, voters, chain: voters };
  },
  /** Whether a round put to all candidates ends here: one of them took a view that its voters go on with alone. */
  isTakenOver: (candidates: number, voters: number, taken: boolean): boolean => taken && candidates > voters,
  /** Promises that a round for the first view needs: of all candidates, unless a view was taken before. */
  promisesNeeded: (candidates: number, voters: number, taken: boolean): number =>
    taken ? Math.floor(voters / 2) + 1 : candidates,
};
