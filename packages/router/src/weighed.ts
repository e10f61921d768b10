import type { Server } from './server.js';

/** How a request fares if it is sent at this instant. */
export type Weighed = {
  /** The prefill server that is to read it first, and how many tokens; null where the run had better read it itself. */
  read: { server: Server; fresh: number; home: boolean } | null;
  /** ms until its first event, and if nothing else were waiting. */
  ms: number;
  alone: number;
  /**
   * ms of reading that wait where it would be read, and that it takes there itself, and whether it would be read by a
   * decode server for want of any other; null where nothing is known.
   */
  reading: { waits: number; own: number; beside: boolean } | null;
};
