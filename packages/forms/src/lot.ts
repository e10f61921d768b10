import { Hash } from './hash.js';

/** Rendezvous: who of many holds a key. Losing one member moves only that member's keys. */
export const Lot = {
  rank<T>(key: string, list: readonly T[], name: (t: T) => string): T[] {
    return list
      .map((t) => ({ t, n: name(t), w: Hash.num(`${key}|${name(t)}`) }))
      .sort((a, b) => b.w - a.w || (a.n < b.n ? -1 : 1))
      .map((x) => x.t);
  },
};
