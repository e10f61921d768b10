/** Receives the output of a run as it arrives from the server. */
export type RunObserver = {
  /** Response status and headers. Returns false if the response is not wanted; then nothing of it is forwarded. */
  onHead(status: number, headers: readonly (readonly [string, string])[]): boolean;
  /**
   * Bytes of one whole event with its id, or of a body that is not an event stream (id null). Returns false if no more
   * is wanted.
   */
  onEvent(id: string | null, bytes: Uint8Array): boolean;
  /** Called for any byte received, as a sign that the server is alive. */
  onActivity(): void;
};
