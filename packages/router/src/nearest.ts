import { Lot } from '@pumicebarrow/forms';

type Kept = { ids: readonly string[]; upto: number };
type Tools = {
  mono: () => number;
  /** Whether this name is of one that lives now, and the names of all that do. */
  lives: (id: string) => boolean;
  all: () => Iterable<string>;
  many: number;
  /** ms: one that lives asks at least as often as that. */
  term: number;
};

/**
 * The few that go first for each member by rendezvous, kept from one asking to the next. Invariants: they are the ones
 * that a ranking of all that live would put first; only who came since the last asking is weighed, and all of them
 * only where one of the kept is gone; who came before all that live last asked is forgotten.
 */
export const Nearest = {
  make(t: Tools) {
    const kept = new Map<string, Kept>();
    let came: { id: string; at: number }[] = [];
    let first = 0;
    const since = (k: Kept): string[] => came.slice(k.upto - first).map((c) => c.id);
    const few = (who: string, some: Iterable<string>): string[] =>
      Lot.few(who, some, (id) => id, t.many + 1)
        .filter((id) => id !== who)
        .slice(0, t.many);
    const tidy = (): void => {
      const old = t.mono() - t.term;
      let n = 0;
      while (n < came.length && came[n]!.at < old) n++;
      if (n === 0) return;
      came = came.slice(n);
      first += n;
    };
    return {
      joined(id: string): void {
        tidy();
        came.push({ id, at: t.mono() });
      },
      left: (id: string): boolean => kept.delete(id),
      of(who: string): readonly string[] {
        const upto = first + came.length;
        const had = kept.get(who);
        if (had?.upto === upto && had.ids.every(t.lives)) return had.ids;
        const whole = !had || had.upto < first || !had.ids.every(t.lives);
        const ids = whole ? few(who, t.all()) : few(who, new Set([...had.ids, ...since(had).filter(t.lives)]));
        kept.set(who, { ids, upto });
        return ids;
      },
    };
  },
};
