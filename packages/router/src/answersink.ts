/**
 * Writes the response to one client. Invariant: one head, then whole events or bytes, then exactly one call that ends
 * the response, either normally or by aborting it.
 */
export type AnswerSink = {
  head(status: number, headers: readonly (readonly [string, string])[]): void;
  /** Writes body bytes; returns false once the client no longer reads. */
  bytes(chunk: Uint8Array): boolean;
  end(): void;
  /** Terminates the response so that the client can tell that it is incomplete. */
  cut(): void;
  /** Whether the client has disconnected. */
  gone(): boolean;
  /** Registers a callback that is called once when the client disconnects. */
  left(fn: () => void): void;
};
