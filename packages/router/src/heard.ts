/** What comes of a run, as it comes. */
export type Heard = {
  /** The server's answer begins. False: it is not wanted, and nothing of it goes out. */
  head(status: number, headers: readonly (readonly [string, string])[]): boolean;
  /** Bytes of a whole event with its id, or of a body that is no stream (id null). False: no more is wanted. */
  event(id: string | null, bytes: Uint8Array): boolean;
  /** Any byte at all: the server is alive. */
  stir(): void;
};
