import type { Message } from './message.js';
import type { Result } from './result.js';
import type { RequestError } from './requesterror.js';

/** The message transport between daemons. */
export type Wire = {
  /** Sends a request and waits at most `ms` for its reply. A reply of null means that the request was refused. */
  ask(addr: string, mail: Message, ms: number): Promise<Result<unknown, RequestError>>;
  /** Sends a one-way message, which may be lost. */
  tell(addr: string, mail: Message): void;
  /** Registers the handler of messages. It returns the reply, null to refuse the message, or undefined for no reply. */
  onMessage(fn: (mail: Message) => Promise<unknown>): void;
};
