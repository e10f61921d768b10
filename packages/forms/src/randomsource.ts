/** A source of uniformly distributed random numbers in [0, 1). It is seeded in the simulator. */
export type RandomSource = { real(): number };
