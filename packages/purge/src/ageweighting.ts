import type { RandomSource } from '@pumicebarrow/forms';

type Weighting = (ages: readonly number[]) => number[];

/**
 * Weighted random choice by age, with the two weightings of the paper (section 4.1.4). Ages are elapsed ms and at least
 * `minAge`, so that weights stay finite. LINEAR decreases linearly with age: the ages 2, 4 … 20 get the weights
 * 20, 18 … 2. AGE2 is 1 / age².
 */
export const AgeWeighting = {
  linear: ((ages) => {
    const max = Math.max(...ages),
      min = Math.min(...ages);
    return ages.map((age) => max + min - age);
  }) as Weighting,
  inverseSquare: ((ages) => ages.map((age) => 1 / (age * age))) as Weighting,
  /** The weights, normalized to a sum of 1. */
  probabilities(weighting: Weighting, ages: readonly number[]): number[] {
    const weights = weighting(ages);
    const sum = weights.reduce((a, b) => a + b, 0);
    return weights.map((weight) => weight / sum);
  },
  /** Up to n distinct items, drawn one after another, each time by the weights of the items left. */
  sample<T>(
    random: RandomSource,
    list: readonly T[],
    n: number,
    ageOf: (t: T) => number,
    weighting: Weighting,
    minAge: number,
  ): T[] {
    const rest = [...list];
    const sample: T[] = [];
    while (sample.length < n && rest.length > 0) {
      const probabilities = AgeWeighting.probabilities(
        weighting,
        rest.map((t) => Math.max(minAge, ageOf(t))),
      );
      let r = random.real(),
        i = 0;
      while (i < rest.length - 1 && r >= probabilities[i]!) r -= probabilities[i++]!;
      sample.push(...rest.splice(i, 1));
    }
    return sample;
  },
};
