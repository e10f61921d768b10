/**
 * Writes the response to one client. Invariant: one head, then whole events or bytes, then exactly one call that ends
 * the response, either normally or by aborting it.
 */
export type ResponseWriter = {
  writeHead(status: number, headers: readonly (readonly [string, string])[]): void;
  /** Writes body bytes; returns false once the client no longer reads. */
  write(chunk: Uint8Array): boolean;
  end(): void;
  /** Terminates the response so that the client can tell that it is incomplete. */
  abort(): void;
  /** Whether the client has disconnected. */
  isClientGone(): boolean;
  /** Registers a callback that is called once when the client disconnects. */
  onClientGone(fn: () => void): void;
};
