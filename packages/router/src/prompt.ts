/**
 * What is known of a prompt before it is read. Invariant: `parts` are in prompt order, and only the last one is
 * specific to the request.
 */
export type Prompt = {
  model: string;
  /** Prompt length in tokens. */
  tokens: number;
  /** Maximum number of output tokens. */
  most: number;
  parts: readonly { id: string; tokens: number }[];
};
