import type { ResponseHead } from './responsehead.js';

/** Receives the output of a run as it arrives from the server: a head, then either events or bytes of a plain body. */
export type RunObserver = {
  /** Returns false if the response is not wanted; then nothing of it is forwarded. */
  onHead(head: ResponseHead): boolean;
  /** Bytes of one whole event, with its id if it has one. Returns false if no more is wanted. */
  onEvent(id: string | null, bytes: Uint8Array): boolean;
  /** Bytes of a body that is not an event stream. Returns false if no more is wanted. */
  onBody(bytes: Uint8Array): boolean;
  /** Called for any byte received, as a sign that the server is alive. */
  onActivity(): void;
};
