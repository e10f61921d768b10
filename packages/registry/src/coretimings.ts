/**
 * The core's terms, in ms. Invariant: `suspect` is longer than `hold`, so a live lease is not outlived by suspicion
 * alone.
 */
export const CoreTimings = {
  beat: 150,
  hold: 800,
  suspect: 1000,
  ask: 600,
  push: 2500,
  stall: 1500,
  lease: 2000,
  quiet: 3000,
  gone: 2000,
  met: 2000,
  leave: 1000,
  peek: 250,
  rest: 200,
  search: 1000,
};
