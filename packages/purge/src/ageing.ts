import type { Chance } from '@pumicebarrow/forms';

type Weigh = (ages: readonly number[]) => number[];

/**
 * The source's chances by age (ch. 4.1.4). Ages are elapsed ms, never below `least`, so that no weight is endless.
 * LINEAR falls in a straight line with age; over ages 2, 4 … 20 it gives 20, 18 … 2. AGE2 is 1 / age².
 */
export const AgeWeighting = {
  linear: ((ages) => {
    const top = Math.max(...ages),
      low = Math.min(...ages);
    return ages.map((a) => top + low - a);
  }) as Weigh,
  inverseSquare: ((ages) => ages.map((a) => 1 / (a * a))) as Weigh,
  probabilities(weigh: Weigh, ages: readonly number[]): number[] {
    const w = weigh(ages);
    const sum = w.reduce((a, b) => a + b, 0);
    return w.map((x) => x / sum);
  },
  /** n distinct items, drawn one after another, each time by the weights of those left. */
  sample<T>(chance: Chance, list: readonly T[], n: number, age: (t: T) => number, weigh: Weigh, least: number): T[] {
    const rest = [...list];
    const out: T[] = [];
    while (out.length < n && rest.length > 0) {
      const odds = AgeWeighting.probabilities(
        weigh,
        rest.map((t) => Math.max(least, age(t))),
      );
      let r = chance.real(),
        i = 0;
      while (i < rest.length - 1 && r >= odds[i]!) r -= odds[i++]!;
      out.push(...rest.splice(i, 1));
    }
    return out;
  },
};
