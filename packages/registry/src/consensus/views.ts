import type { Ident } from '@pumicebarrow/forms';
import type { Member } from '../membership/member.js';
import type { View } from './view.js';

type Who = { id: string; born: string };
const same = (a: Who | undefined, b: Who | undefined): boolean => !!a && !!b && a.id === b.id && a.born === b.born;

const includes = (list: readonly Member[] | undefined, w: Who): boolean => (list ?? []).some((m) => same(m, w));

/** Questions asked of a view. */
export const Views = {
  same: same,
  head: (v: View): Member => v.chain[0]!,
  tail: (v: View): Member => v.chain[v.chain.length - 1]!,
  place: (v: View, w: Who): number => v.chain.findIndex((m) => same(m, w)),
  /** A majority of the voters, and so many copies as writes need: one more than may be lost at once. */
  most: (v: View): number => Math.floor(v.voters.length / 2) + 1,
  votes: (v: View, w: Who): boolean => v.voters.some((m) => same(m, w)),
  /** Members of the chain that hold all that was confirmed when the view was agreed. */
  complete: (v: View): Member[] => v.chain.filter((m) => !includes(v.joining, m)),
  /** Whether it stands outside the chain, holding all that was confirmed. */
  isInReserve: (v: View, w: Who): boolean => includes(v.reserve, w),
  all(v: View): Member[] {
    const outside = [...v.voters, ...(v.reserve ?? [])].filter((m) => Views.place(v, m) < 0);
    return [...v.chain, ...outside.filter((m, i) => outside.findIndex((x) => same(x, m)) === i)];
  },
  /** The members as daemons to gossip with. */
  idents: (v: View | null): Ident[] =>
    v ? Views.all(v).map((m) => ({ ...m, site: 'core', role: 'registry' as const })) : [],
  /** Beside the voters there is a place for one newcomer at a time; who has a name in the view has a place. */
  room(v: View, m: Member): boolean {
    const names = new Set(Views.all(v).map((x) => x.id));
    return names.has(m.id) || names.size <= v.voters.length;
  },
};
