import { Lot } from '@pumicebarrow/forms';

/** `upto` is the place in the order of coming up to which all were weighed. */
type Kept = { ids: readonly string[]; upto: number };
type Few = { ids: readonly string[]; whole: boolean };
type Tools = { mono: () => number; many: number };
/** Names weighed in a ms at most over time, in one go, and by one asking at least. */
const PACE = 250;
const BURST = 200_000;
const LEAST = 8;
const SPARE = 64;

/**
 * The few that go first for each member by rendezvous, kept from one asking to the next. Invariants: once `whole`, they
 * are the ones that a ranking of all that live would put first; nobody is weighed twice but those kept, and all only
 * where one of the kept is gone; weighing takes a bounded part of the time, and goes on at the next asking.
 */
export const Nearest = {
  make(t: Tools) {
    /** In the order in which they came; a name counts where `at` says so. */
    let came: string[] = [];
    const at = new Map<string, number>();
    const kept = new Map<string, Kept>();
    let left = BURST,
      since = t.mono();
    const allowed = (many: number): number => {
      const now = t.mono();
      left = Math.min(BURST, left + PACE * (now - since));
      since = now;
      const n = Math.min(many, Math.max(LEAST, Math.floor(left)));
      left = Math.max(0, left - n);
      return n;
    };
    const tidy = (): void => {
      if (came.length < 2 * at.size + SPARE) return;
      const before: number[] = [],
        live: string[] = [];
      came.forEach((id, i) => {
        before.push(live.length);
        if (at.get(id) === i) live.push(id);
      });
      for (const k of kept.values()) k.upto = before[k.upto] ?? live.length;
      came = live;
      came.forEach((id, i) => at.set(id, i));
    };
    return {
      joined(id: string): void {
        tidy();
        at.set(id, came.length);
        came.push(id);
      },
      left(id: string): void {
        at.delete(id);
        kept.delete(id);
      },
      of(who: string): Few {
        const had = kept.get(who) ?? { ids: [], upto: 0 };
        const ids = had.ids.filter((id) => at.has(id));
        const from = ids.length < had.ids.length ? 0 : had.upto;
        const upto = from + (from < came.length ? allowed(came.length - from) : 0);
        const some = came.slice(from, upto).filter((id, i) => at.get(id) === from + i);
        if (some.length > 0 || ids.length < had.ids.length)
          had.ids = Lot.few(who, new Set([...ids, ...some]), (id) => id, t.many + 1)
            .filter((id) => id !== who)
            .slice(0, t.many);
        had.upto = upto;
        kept.set(who, had);
        return { ids: had.ids, whole: upto === came.length };
      },
    };
  },
};
