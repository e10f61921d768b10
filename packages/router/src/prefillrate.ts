const INITIAL_TOKENS_PER_MS = 40;
const MIN_TOKENS_PER_MS = 4;
const MAX_TOKENS_PER_MS = 400;
const SAMPLE_WEIGHT = 0.1;

/** Learns how many prompt tokens a prefill server reads per ms, from reads that had the server to themselves. */
export const PrefillRate = {
  make() {
    let tokensPerMs = INITIAL_TOKENS_PER_MS;
    return {
      tokensPerMs: (): number => tokensPerMs,
      /** Updates the moving average; short prompts are ignored. */
      observe(tokens: number, ms: number): void {
        if (tokens < 500 || ms <= 0) return;
        tokensPerMs = Math.min(
          MAX_TOKENS_PER_MS,
          Math.max(MIN_TOKENS_PER_MS, tokensPerMs * (1 - SAMPLE_WEIGHT) + (tokens / ms) * SAMPLE_WEIGHT),
        );
      },
    };
  },
};
