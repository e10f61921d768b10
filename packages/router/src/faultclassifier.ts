import type { SendFault } from './sendfault.js';

/** Classifies a failed send: whether it reached the server, and whether the server is at fault. */
export const FaultClassifier = {
  /** Whether the request never reached the server. */
  neverArrived: (fault: SendFault): boolean => fault.code === 'unsent' || fault.code === 'crowded',
  /** Whether the server itself rejected the request. */
  rejectedByServer: (fault: SendFault): boolean => fault.code === 'refused' || fault.code === 'misdirected',
  /**
   * Whether the failure counts against the server's health. A time-out counts only if the server sent nothing at all
   * for more than `silenceLimitMs`; otherwise the server is merely busy.
   */
  countsAgainstServer: (fault: SendFault, silentMs: number, silenceLimitMs: number): boolean =>
    fault.code === 'unsent' || fault.code === 'broken' || (fault.code === 'late' && silentMs > silenceLimitMs),
};
