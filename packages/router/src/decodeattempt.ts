import type { ReservedSend } from './reservedsend.js';
import type { ResponseHead } from './responsehead.js';
import type { Server } from './server.js';

/** One run of a request on a decode server. */
export type DecodeAttempt = {
  reserved: ReservedSend;
  /** The server that holds the KV cache handle which the run was given; null without a handle. */
  handleOwner: Server | null;
  /** Ends the run at the server. */
  controller: AbortController;
  /** Events that this run has contributed to the response. */
  events: number;
  /** The response head of this run while another run may still provide the response. */
  heldHead: ResponseHead | null;
  /** Whether another run goes on in its place, so that the outcome of this one no longer decides anything. */
  replaced: boolean;
};
