import type { Mail } from './mail.js';
import type { Result } from './result.js';
import type { WireFault } from './wirefault.js';

/** How daemons reach each other. The handler gives the reply's body, or null to turn the mail away. */
export type Wire = {
  ask(addr: string, mail: Mail, ms: number): Promise<Result<unknown, WireFault>>;
  hear(fn: (mail: Mail) => Promise<unknown>): void;
};
