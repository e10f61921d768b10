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
  /** The first few of those ranked, without ranking the rest. */
  few<T>(key: string, list: Iterable<T>, name: (t: T) => string, many: number): T[] {
    const best: (Weighed & { t: T })[] = [];
    for (const t of list) {
      const n = name(t),
        w = Hash.num(`${key}|${n}`),
        last = best.at(-1);
      if (last && best.length >= many && (w < last.w || (w === last.w && n >= last.n))) continue;
      best.push({ t, n, w });
      best.sort(before);
      if (best.length > many) best.pop();
    }
    return best.map((x) => x.t);
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
