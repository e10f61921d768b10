import type { Ident } from '@pumicebarrow/forms';
import type { Member } from '../membership/member.js';
import type { View } from './view.js';

type Who = { id: string; born: string };
const same = (a: Who | undefined, b: Who | undefined): boolean => !!a && !!b && a.id === b.id && a.born === b.born;

/** Questions asked of a view, and the next views that may be proposed. */
export const Views = {
  same,
  head: (v: View): Member => v.chain[0]!,
  tail: (v: View): Member => v.chain[v.chain.length - 1]!,
  place: (v: View, w: Who): number => v.chain.findIndex((m) => same(m, w)),
  /** A majority of the voters, and so many copies as writes need: one more than may be lost at once. */
  most: (v: View): number => Math.floor(v.voters.length / 2) + 1,
  votes: (v: View, w: Who): boolean => v.voters.some((m) => same(m, w)),
  all(v: View): Member[] {
    return [...v.chain, ...v.voters.filter((m) => Views.place(v, m) < 0)];
  },
  /** The members as daemons to gossip with. */
  idents: (v: View | null): Ident[] =>
    v ? Views.all(v).map((m) => ({ ...m, site: 'core', role: 'registry' as const })) : [],
  without(v: View, list: readonly Who[]): View {
    return { ...v, epoch: v.epoch + 1, chain: v.chain.filter((m) => !list.some((w) => same(m, w))) };
  },
  /** At the tail; whatever stood there under the same id goes. */
  withTail(v: View, m: Member): View {
    const voters = v.voters.map((x) => (same(x, m) ? m : x));
    return { epoch: v.epoch + 1, voters, chain: [...v.chain.filter((x) => x.id !== m.id), m] };
  },
  /** A caught-up chain member takes another's vote. */
  withVoter(v: View, m: Member, old: Who): View {
    return { ...v, epoch: v.epoch + 1, voters: v.voters.map((x) => (same(x, old) ? m : x)) };
  },
  /** Beside the voters there is a place for one newcomer at a time; who has a name in the view has a place. */
  room(v: View, m: Member): boolean {
    const names = new Set(Views.all(v).map((x) => x.id));
    return names.has(m.id) || names.size <= v.voters.length;
  },
};
