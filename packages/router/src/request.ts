import type { Prompt } from './prompt.js';

/**
 * One attempt of a client, received completely. Invariants: `path` (with its query), `method` and `body` are forwarded
 * unchanged; `headers` contains neither hop-by-hop headers nor headers that the router sets itself.
 */
export type Request = {
  id: string;
  method: string;
  host: string;
  path: string;
  headers: readonly (readonly [string, string])[];
  body: Uint8Array;
  /** Monotonic time in ms at which the client gives up. */
  due: number;
  /** Time in ms that the client said it would wait when it sent this attempt. */
  wait: number;
  /** Id of the last event that the client received in an earlier, interrupted attempt. */
  after: string | null;
  /** What the client said of its prompt; null if it said nothing. */
  prompt: Prompt | null;
  /** Digest of the API key that the client sent; null if it sent none. */
  key: string | null;
  /** Tenant name that is passed on to servers. Only the router sets it, from the API key. */
  tenant: string | null;
};
