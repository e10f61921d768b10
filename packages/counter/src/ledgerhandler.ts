import type { Ident, Messenger } from '@pumicebarrow/forms';
import type { Ledger } from './ledger.js';
import { LedgerMessages } from './ledgermessages.js';

const senderId = (sender: Ident): string => `${sender.id}/${sender.born}`;

/**
 * Handles the ledger messages of other daemons. Invariant: an opening addressed to another incarnation of this daemon
 * is not recorded.
 */
export const LedgerHandler = {
  make(post: Messenger, ledger: ReturnType<typeof Ledger.make>, self: () => Ident): void {
    post.on('ledger.open', LedgerMessages.open, (message, from) => {
      if (message.life !== undefined && message.life !== self().born) return { say: 'unknown' };
      return { say: ledger.open(message.key, message.attempt, message.digest, message.proven, senderId(from)) };
    });
    post.on('ledger.step', LedgerMessages.step, (message, from) => ({
      ok: ledger.step(message.key, message.attempt, message.digest, message.to, senderId(from)),
    }));
  },
};
