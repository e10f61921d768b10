import type { Server } from './server.js';

/** Expected course of a request if it is sent at this instant. */
export type PlacementEstimate = {
  /**
   * The prefill server that should read the prompt, the number of uncached tokens it would read, and whether it is the
   * home of the prefix; null if the prompt is better read where it is decoded.
   */
  prefill: { server: Server; fresh: number; home: boolean } | null;
  /** Expected time to the first event in ms, and the same if nothing else were queued. */
  firstEventMs: number;
  uncontendedMs: number;
  /**
   * Where the prompt would be read: ms of reading queued ahead (`queuedMs`), ms of its own reading (`ownMs`), and
   * whether a decode server would read it because no prefill server is left (`atDecodeServer`); null if unknown.
   */
  backlog: { queuedMs: number; ownMs: number; atDecodeServer: boolean } | null;
};
