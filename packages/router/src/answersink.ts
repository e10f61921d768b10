/** Where an answer goes. Invariant: one head, then whole events or bytes, then one of `end` and `cut`. */
export type AnswerSink = {
  head(status: number, headers: readonly (readonly [string, string])[]): void;
  /** Gives false once the client reads no more. */
  bytes(chunk: Uint8Array): boolean;
  end(): void;
  /** Ends it so that the client can't take it for whole. */
  cut(): void;
  /** Whether the client has gone. */
  gone(): boolean;
  /** Calls once when it goes. */
  left(fn: () => void): void;
};
