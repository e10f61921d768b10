import type { Result } from '@pumicebarrow/forms';
import type { KvCacheHandle } from './kvcachehandle.js';
import type { RunObserver } from './runobserver.js';
import type { ServerReport } from './serverreport.js';
import type { ClientRequest } from './clientrequest.js';
import type { SendFault } from './sendfault.js';
import type { Server } from './server.js';

type SendOptions = {
  /** Time limit in ms: the server stops its work after it, and the caller stops waiting. */
  ms: number;
  /** Scheduling urgency at the server, from 0 (first) to 9 (last). */
  urgency: number;
  /** Cancels the request when it is aborted. */
  signal: AbortSignal;
};

/**
 * Client for the model servers. Every call names the server incarnation that it is meant for (`server.id`); any other
 * server rejects it. Invariant: a response that does not echo the request's id is not taken for an answer to this
 * request, and its connection is closed.
 */
export type ModelServerClient = {
  /** Prefills a prompt and returns a handle to its KV cache; generates nothing. */
  prefill(server: Server, request: ClientRequest, options: SendOptions): Promise<Result<KvCacheHandle, SendFault>>;
  /**
   * Runs a request, either from the KV cache behind `handle`, held by another server, or by prefilling the prompt
   * itself. The stream resumes after the event `lastEventId`, or starts from the beginning if that is null.
   */
  run(
    server: Server,
    request: ClientRequest,
    handle: KvCacheHandle | null,
    lastEventId: string | null,
    options: SendOptions,
    response: RunObserver,
  ): Promise<Result<void, SendFault>>;
  /** Whether an idle connection to the server is open, so that the next request needs no new one. */
  hasIdleConnection(server: Server): boolean;
  /** Releases KV cache memory that no server will fetch. */
  releaseHandle(handle: KvCacheHandle): Promise<void>;
  /** Asks a server for its current state. */
  fetchReport(server: Server, ms: number): Promise<Result<ServerReport, string>>;
  /**
   * Orders a server to change its stage, under a fencing token. Results: `taken`: the order was accepted; `holds`: the
   * server already has that stage; `fenced`: it has seen a newer token; `lost`: the outcome is unknown.
   */
  setStage(
    server: Server,
    order: { stage: 'prefill' | 'decode'; holder: string; fence: number },
    ms: number,
  ): Promise<Result<'taken' | 'holds', 'refused' | 'fenced' | 'lost' | 'unsent'>>;
  close(): Promise<void>;
};
