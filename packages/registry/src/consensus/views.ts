import type { Ident } from '@pumicebarrow/forms';
import type { Member } from '../membership/member.js';
import type { View } from './view.js';

type Identity = { id: string; born: string };
const same = (a: Identity | undefined, b: Identity | undefined): boolean =>
  !!a && !!b && a.id === b.id && a.born === b.born;

const includes = (members: readonly Member[] | undefined, identity: Identity): boolean =>
  (members ?? []).some((m) => same(m, identity));

/** Questions asked of a view. */
export const Views = {
  same: same,
  head: (view: View): Member => view.chain[0]!,
  tail: (view: View): Member => view.chain[view.chain.length - 1]!,
  place: (view: View, identity: Identity): number => view.chain.findIndex((m) => same(m, identity)),
  /** A majority of the voters, and so many copies as writes need: one more than may be lost at once. */
  most: (view: View): number => Math.floor(view.voters.length / 2) + 1,
  votes: (view: View, identity: Identity): boolean => view.voters.some((m) => same(m, identity)),
  /** Members of the chain that hold all that was confirmed when the view was agreed. */
  complete: (view: View): Member[] => view.chain.filter((m) => !includes(view.joining, m)),
  /** Whether it stands outside the chain, holding all that was confirmed. */
  isInReserve: (view: View, identity: Identity): boolean => includes(view.reserve, identity),
  all(view: View): Member[] {
    const outside = [...view.voters, ...(view.reserve ?? [])].filter((m) => Views.place(view, m) < 0);
    return [...view.chain, ...outside.filter((m, i) => outside.findIndex((x) => same(x, m)) === i)];
  },
  /** The members as daemons to gossip with. */
  idents: (view: View | null): Ident[] =>
    view ? Views.all(view).map((m) => ({ ...m, site: 'core', role: 'registry' as const })) : [],
  /** Beside the voters there is a place for one newcomer at a time; who has a name in the view has a place. */
  room(view: View, member: Member): boolean {
    const memberIds = new Set(Views.all(view).map((x) => x.id));
    return memberIds.has(member.id) || memberIds.size <= view.voters.length;
  },
};
