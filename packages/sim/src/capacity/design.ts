/** The size the fleet is designed for, and what a daemon may spend on control at that size. */
export const Design = {
  daemons: 2900,
  servers: 10_000,
  zones: 40,
  /** Changes of the charter a second, of 40,000 a day. */
  changes: 40_000 / 86_400,
  /** Changes of the list of servers a second: 150 failures and 1,900 restarts a day, two each, and 1,700 of a stage. */
  listed: (2 * (150 + 1900) + 1700) / 86_400,
  requests: 35_000,
  budget: { core: 3.6, memory: 256, bytes: 17_000, machines: 24 },
};
