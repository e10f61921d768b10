import type { Ident } from '@pumicebarrow/forms';
import type { Member } from '../membership/member.js';
import type { View } from './view.js';

type Identity = { id: string; born: string };
const same = (a: Identity | undefined, b: Identity | undefined): boolean =>
  !!a && !!b && a.id === b.id && a.born === b.born;

const includes = (members: readonly Member[] | undefined, identity: Identity): boolean =>
  (members ?? []).some((m) => same(m, identity));

/** Queries on a view. */
export const Views = {
  sameMember: same,
  head: (view: View): Member => view.chain[0]!,
  tail: (view: View): Member => view.chain[view.chain.length - 1]!,
  /** Index in the chain; -1 if absent. */
  positionOf: (view: View, identity: Identity): number => view.chain.findIndex((m) => same(m, identity)),
  /**
   * A majority of the voters, which is also the number of replicas that a write needs: one more than may be lost at the
   * same time.
   */
  majority: (view: View): number => Math.floor(view.voters.length / 2) + 1,
  isVoter: (view: View, identity: Identity): boolean => view.voters.some((m) => same(m, identity)),
  /** Chain members that held everything committed when the view was agreed. */
  completeMembers: (view: View): Member[] => view.chain.filter((m) => !includes(view.joining, m)),
  /** Whether a member is outside the chain but holds everything that was committed. */
  isInReserve: (view: View, identity: Identity): boolean => includes(view.reserve, identity),
  /** The chain, then voters and reserve members outside it, without duplicates. */
  allMembers(view: View): Member[] {
    const outside = [...view.voters, ...(view.reserve ?? [])].filter((m) => Views.positionOf(view, m) < 0);
    return [...view.chain, ...outside.filter((m, i) => outside.findIndex((x) => same(x, m)) === i)];
  },
  /** The members as peers for gossip. */
  gossipPeers: (view: View | null): Ident[] =>
    view ? Views.allMembers(view).map((m) => ({ ...m, site: 'core', role: 'registry' as const })) : [],
  /**
   * Whether there is room for `member`: a view takes one newcomer at a time beside its voters, and an id already in the
   * view keeps its place.
   */
  hasRoomFor(view: View, member: Member): boolean {
    const memberIds = new Set(Views.allMembers(view).map((x) => x.id));
    return memberIds.has(member.id) || memberIds.size <= view.voters.length;
  },
};
