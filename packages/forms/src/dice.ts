import type { Chance } from './chance.js';

/** Random draws from a random source. */
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
  /** An integer from 0 to n - 1. */
  int: (random: Chance, n: number): number => Math.floor(random.real() * n),
  /** One item of the list; undefined if the list is empty. */
  one<T>(random: Chance, list: readonly T[]): T | undefined {
    return list[Dice.int(random, list.length)];
  },
  /** Up to n distinct items, all equally likely. */
  some<T>(random: Chance, list: readonly T[], n: number): T[] {
    const rest = [...list];
    const sample: T[] = [];
    while (sample.length < n && rest.length > 0) sample.push(...rest.splice(Dice.int(random, rest.length), 1));
    return sample;
  },
  /** An identifier of 12 hexadecimal digits. */
  word(random: Chance): string {
    let id = '';
    for (let i = 0; i < 12; i++) id += Dice.int(random, 16).toString(16);
    return id;
  },
};
