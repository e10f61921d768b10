import type { Mail } from './mail.js';
import type { Result } from './result.js';
import type { WireFault } from './wirefault.js';

/** The message transport between daemons. */
export type Wire = {
  /** Sends a request and waits at most `ms` for its reply. A reply of null means that the request was refused. */
  ask(addr: string, mail: Mail, ms: number): Promise<Result<unknown, WireFault>>;
  /** Sends a one-way message, which may be lost. */
  tell(addr: string, mail: Mail): void;
  /** Registers the handler of messages. It returns the reply, null to refuse the message, or undefined for no reply. */
  hear(fn: (mail: Mail) => Promise<unknown>): void;
};
