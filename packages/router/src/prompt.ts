/** What is known of a prompt before it is read. Invariant: parts stand in order; only the last is the request's own. */
export type Prompt = {
  model: string;
  tokens: number;
  /** Tokens put out at the most. */
  most: number;
  parts: readonly { id: string; tokens: number }[];
};
