import type { Result } from '@pumicebarrow/forms';
import type { Handle } from './handle.js';
import type { Heard } from './heard.js';
import type { Report } from './report.js';
import type { Request } from './request.js';
import type { SendFault } from './sendfault.js';
import type { Server } from './server.js';

type SendOptions = {
  /** ms that the server may work on it, and that are waited for it. */
  ms: number;
  /** 0 goes first, 9 last. */
  urgency: number;
  signal: AbortSignal;
};

/**
 * How servers are asked. Every send names the life meant (`server.id`), which any other server turns away.
 * Invariant: an answer that does not echo the request's id is none of this request's, and its connection is closed.
 */
export type Engine = {
  /** Reads a prompt; nothing is run. */
  prefill(server: Server, request: Request, terms: SendOptions): Promise<Result<Handle, SendFault>>;
  /** Runs a request, from a handle held elsewhere or reading the prompt itself; after an event, or from the start. */
  run(
    server: Server,
    request: Request,
    handle: Handle | null,
    lastEventId: string | null,
    terms: SendOptions,
    response: Heard,
  ): Promise<Result<void, SendFault>>;
  /** Whether a connection to the server stands idle, so that none has to be opened for the next request. */
  linked(server: Server): boolean;
  /** Gives memory back that nobody will fetch. */
  free(handle: Handle): Promise<void>;
  report(server: Server, ms: number): Promise<Result<Report, string>>;
  /** Changes a server's stage, under a fence. */
  order(
    server: Server,
    order: { stage: 'prefill' | 'decode'; holder: string; fence: number },
    ms: number,
  ): Promise<Result<'taken' | 'holds', 'refused' | 'fenced' | 'lost' | 'unsent'>>;
  close(): Promise<void>;
};
