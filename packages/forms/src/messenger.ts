import type { Static, TSchema } from 'typebox';
import type { Ident } from './ident.js';
import type { Result } from './result.js';
import type { RequestError } from './requesterror.js';

/**
 * Sends and receives the messages of one daemon: requests with a reply, and one-way messages, which may be lost. The
 * parameter `to` is the id of the daemon addressed, or '' if only its address is known.
 */
export type Messenger = {
  /** Registers the handler of requests of a kind; what it returns is the reply. */
  on<S extends TSchema>(kind: string, schema: S, fn: (body: NoInfer<Static<S>>, from: Ident) => unknown): void;
  /** Registers the handler of one-way messages of a kind. */
  onTell<S extends TSchema>(kind: string, schema: S, fn: (body: NoInfer<Static<S>>, from: Ident) => void): void;
  /** Sends a one-way message. */
  tell(addr: string, to: string, kind: string, body: unknown): void;
  /** Sends a request and waits at most `ms` for a reply that matches the schema. */
  ask<S extends TSchema>(
    addr: string,
    to: string,
    kind: string,
    body: unknown,
    schema: S,
    ms: number,
  ): Promise<Result<NoInfer<Static<S>>, RequestError>>;
  /** Refuses all messages from now on. */
  close(): void;
};
