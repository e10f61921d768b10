const START = 40;
const LEAST = 4;
const MOST = 400;
const NEW = 0.1;

/** How many prompt tokens a prefill server reads in a ms, learnt from reads that had the server to themselves. */
export const Pace = {
  make() {
    let pace = START;
    return {
      now: (): number => pace,
      learn(tokens: number, ms: number): void {
        if (tokens < 500 || ms <= 0) return;
        pace = Math.min(MOST, Math.max(LEAST, pace * (1 - NEW) + (tokens / ms) * NEW));
      },
    };
  },
};
