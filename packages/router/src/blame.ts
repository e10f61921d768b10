import type { SendFault } from './sendfault.js';

/** Whether a failed send speaks against its server. */
export const Blame = {
  /** Whether the send never arrived. */
  neverArrived: (fault: SendFault): boolean => fault.code === 'unsent' || fault.code === 'crowded',
  /** Whether the server itself turned the send away. */
  turned: (fault: SendFault): boolean => fault.code === 'refused' || fault.code === 'misdirected',
  /** One that was only late does where nothing at all was heard from the server for `most` ms: else it is busy. */
  falls: (fault: SendFault, silentMs: number, silenceLimitMs: number): boolean =>
    fault.code === 'unsent' || fault.code === 'broken' || (fault.code === 'late' && silentMs > silenceLimitMs),
};
