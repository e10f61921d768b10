import type { Chance } from './chance.js';

/** Draws from chance. */
export const Dice = {
  /** A small seeded generator (mulberry32). */
  seeded(seed: number): Chance {
    let s = seed >>> 0;
    return {
      real() {
        s = (s + 0x6d2b79f5) >>> 0;
        let t = Math.imul(s ^ (s >>> 15), 1 | s);
        t = (t + Math.imul(t ^ (t >>> 7), 61 | t)) ^ t;
        return ((t ^ (t >>> 14)) >>> 0) / 4294967296;
      },
    };
  },
  int: (c: Chance, n: number): number => Math.floor(c.real() * n),
  one<T>(c: Chance, list: readonly T[]): T | undefined {
    return list[Dice.int(c, list.length)];
  },
  /** n distinct items, each as likely as any other. */
  some<T>(c: Chance, list: readonly T[], n: number): T[] {
    const rest = [...list];
    const out: T[] = [];
    while (out.length < n && rest.length > 0) out.push(...rest.splice(Dice.int(c, rest.length), 1));
    return out;
  },
  word(c: Chance): string {
    let s = '';
    for (let i = 0; i < 12; i++) s += Dice.int(c, 16).toString(16);
    return s;
  },
};
