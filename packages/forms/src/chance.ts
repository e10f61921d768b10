/** A source of chance; seeded in the simulator. */
export type Chance = { real(): number };
