import { Hash } from './hash.js';

type Weighted = { name: string; weight: number };
const weigh = (key: string, name: string): Weighted => ({ name, weight: Hash.uint32(`${key}|${name}`) });
/** Orders by descending weight; equal weights are ordered by name. */
const compare = (a: Weighted, b: Weighted): number => b.weight - a.weight || (a.name < b.name ? -1 : 1);

/** Rendezvous hashing: which of many nodes owns a key. The loss of a node moves only the keys that it owned. */
export const RendezvousHash = {
  /** The nodes in order of their preference for the key. */
  rank<T>(key: string, list: readonly T[], name: (t: T) => string): T[] {
    return list
      .map((t) => ({ t, ...weigh(key, name(t)) }))
      .sort(compare)
      .map((x) => x.t);
  },
  /** The first `count` nodes of `rank`, without ranking the rest. */
  top<T>(key: string, list: Iterable<T>, name: (t: T) => string, count: number): T[] {
    const best: (Weighted & { t: T })[] = [];
    for (const t of list) {
      const nodeName = name(t),
        weight = Hash.uint32(`${key}|${nodeName}`),
        last = best.at(-1);
      if (last && best.length >= count && (weight < last.weight || (weight === last.weight && nodeName >= last.name)))
        continue;
      best.push({ t, name: nodeName, weight });
      best.sort(compare);
      if (best.length > count) best.pop();
    }
    return best.map((x) => x.t);
  },
  /** The first node of `rank`, without ranking the rest. */
  first<T>(key: string, list: readonly T[], name: (t: T) => string): T | undefined {
    let best: (Weighted & { t: T }) | undefined;
    for (const t of list) {
      const next = { t, ...weigh(key, name(t)) };
      if (!best || compare(next, best) < 0) best = next;
    }
    return best?.t;
  },
};
