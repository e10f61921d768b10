import type { Ident, PostBox } from '@pumicebarrow/forms';
import type { Ledger } from './ledger.js';
import { LedgerMessages } from './ledgerwords.js';

const senderId = (sender: Ident): string => `${sender.id}/${sender.born}`;

/**
 * Opens the ledger owner's desk to the other daemons. Invariant: what was meant for another life is not recorded
 * here.
 */
export const LedgerHandler = {
  make(post: PostBox, ledger: ReturnType<typeof Ledger.make>, self: () => Ident): void {
    post.on('ledger.open', LedgerMessages.open, (message, from) => {
      if (message.life !== undefined && message.life !== self().born) return { say: 'unknown' };
      return { say: ledger.open(message.key, message.attempt, message.digest, message.proven, senderId(from)) };
    });
    post.on('ledger.step', LedgerMessages.step, (message, from) => ({
      ok: ledger.step(message.key, message.attempt, message.digest, message.to, senderId(from)),
    }));
  },
};
