/** What comes of a run, as it comes. */
export type Heard = {
  /** The server's answer begins; `ran` is false where its status says by itself that it failed. */
  head(status: number, headers: readonly (readonly [string, string])[]): void;
  /** Bytes of a whole event with its id, or of a body that is no stream (id null). False: no more is wanted. */
  event(id: string | null, bytes: Uint8Array): boolean;
  /** Any byte at all: the server is alive. */
  stir(): void;
};
