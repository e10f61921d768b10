import type { Prompt } from './prompt.js';

/**
 * One attempt of a client, received completely. Invariants: `path` (with its query), `method` and `body` are forwarded
 * unchanged; `headers` contains neither hop-by-hop headers nor headers that the router sets itself.
 */
export type ClientRequest = {
  id: string;
  method: string;
  host: string;
  path: string;
  headers: readonly (readonly [string, string])[];
  body: Uint8Array;
  /** Monotonic time in ms at which the client gives up. */
  deadline: number;
  /** Time in ms that the client said it would wait when it sent this attempt. */
  clientTimeoutMs: number;
  /** Id of the last event that the client received in an earlier, interrupted attempt. */
  lastEventId: string | null;
  /** What the client said of its prompt; null if it said nothing. */
  prompt: Prompt | null;
  /** Digest of the API key that the client sent; null if it sent none. */
  keyDigest: string | null;
  /** Tenant name that is passed on to servers. Only the router sets it, from the API key. */
  tenant: string | null;
};
