import type { RandomSource } from './randomsource.js';

/** Random draws from a random source. */
export const Random = {
  /** A small seeded generator (mulberry32). */
  seeded(seed: number): RandomSource {
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
  int: (random: RandomSource, n: number): number => Math.floor(random.real() * n),
  /** One item of the list; undefined if the list is empty. */
  pick<T>(random: RandomSource, list: readonly T[]): T | undefined {
    return list[Random.int(random, list.length)];
  },
  /** Up to n distinct items, all equally likely. */
  sample<T>(random: RandomSource, list: readonly T[], n: number): T[] {
    const rest = [...list];
    const sample: T[] = [];
    while (sample.length < n && rest.length > 0) sample.push(...rest.splice(Random.int(random, rest.length), 1));
    return sample;
  },
  /** An identifier of 12 hexadecimal digits. */
  hexId(random: RandomSource): string {
    let id = '';
    for (let i = 0; i < 12; i++) id += Random.int(random, 16).toString(16);
    return id;
  },
};
