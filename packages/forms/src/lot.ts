import { Hash } from './hash.js';

/** The greater weight goes before, and of two alike the lesser name. */
type Weighed = { n: string; w: number };
const weight = (key: string, n: string): Weighed => ({ n, w: Hash.num(`${key}|${n}`) });
const before = (a: Weighed, b: Weighed): number => b.w - a.w || (a.n < b.n ? -1 : 1);

/** Rendezvous: who of many holds a key. Losing one member moves only that member's keys. */
export const Lot = {
  rank<T>(key: string, list: readonly T[], name: (t: T) => string): T[] {
    return list
      .map((t) => ({ t, ...weight(key, name(t)) }))
      .sort(before)
      .map((x) => x.t);
  },
  /** The first of those ranked, without ranking the rest. */
  first<T>(key: string, list: readonly T[], name: (t: T) => string): T | undefined {
    let best: (Weighed & { t: T }) | undefined;
    for (const t of list) {
      const next = { t, ...weight(key, name(t)) };
      if (!best || before(next, best) < 0) best = next;
    }
    return best?.t;
  },
};
