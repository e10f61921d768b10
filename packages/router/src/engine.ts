import type { Result } from '@pumicebarrow/forms';
import type { Handle } from './handle.js';
import type { Heard } from './heard.js';
import type { Report } from './report.js';
import type { Request } from './request.js';
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
export type Engine = {
  /** Prefills a prompt and returns a handle to its KV cache; generates nothing. */
  prefill(server: Server, request: Request, options: SendOptions): Promise<Result<Handle, SendFault>>;
  /**
   * Runs a request, either from the KV cache behind `handle`, held by another server, or by prefilling the prompt
   * itself. The stream resumes after the event `lastEventId`, or starts from the beginning if that is null.
   */
  run(
    server: Server,
    request: Request,
    handle: Handle | null,
    lastEventId: string | null,
    options: SendOptions,
    response: Heard,
  ): Promise<Result<void, SendFault>>;
  /** Whether an idle connection to the server is open, so that the next request needs no new one. */
  linked(server: Server): boolean;
  /** Releases KV cache memory that no server will fetch. */
  free(handle: Handle): Promise<void>;
  /** Asks a server for its current state. */
  report(server: Server, ms: number): Promise<Result<Report, string>>;
  /**
   * Orders a server to change its stage, under a fencing token. Results: `taken`: the order was accepted; `holds`: the
   * server already has that stage; `fenced`: it has seen a newer token; `lost`: the outcome is unknown.
   */
  order(
    server: Server,
    order: { stage: 'prefill' | 'decode'; holder: string; fence: number },
    ms: number,
  ): Promise<Result<'taken' | 'holds', 'refused' | 'fenced' | 'lost' | 'unsent'>>;
  close(): Promise<void>;
};
