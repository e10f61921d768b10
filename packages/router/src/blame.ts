import type { SendFault } from './sendfault.js';

/** Whether a failed send speaks against its server. */
export const Blame = {
  /** Whether the send never arrived. */
  unmet: (f: SendFault): boolean => f.code === 'unsent' || f.code === 'crowded',
  /** Whether the server itself turned the send away. */
  turned: (f: SendFault): boolean => f.code === 'refused' || f.code === 'misdirected',
  /** One that was only late does where nothing at all was heard from the server for `most` ms: else it is busy. */
  falls: (f: SendFault, silent: number, most: number): boolean =>
    f.code === 'unsent' || f.code === 'broken' || (f.code === 'late' && silent > most),
};
