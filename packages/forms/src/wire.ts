import type { Mail } from './mail.js';
import type { Result } from './result.js';
import type { WireFault } from './wirefault.js';

/**
 * How daemons reach each other. The handler gives the reply's body, null to turn the mail away, or undefined where no
 * reply is wanted.
 */
export type Wire = {
  ask(addr: string, mail: Mail, ms: number): Promise<Result<unknown, WireFault>>;
  /** Nothing comes back; it may be lost. */
  tell(addr: string, mail: Mail): void;
  hear(fn: (mail: Mail) => Promise<unknown>): void;
};
