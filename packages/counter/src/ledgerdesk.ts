import type { Ident, PostBox } from '@pumicebarrow/forms';
import type { Ledger } from './ledger.js';
import { LedgerWords } from './ledgerwords.js';

const by = (who: Ident): string => `${who.id}/${who.born}`;

/**
 * Opens the ledger owner's desk to the other daemons. Invariant: what was meant for another life is not recorded
 * here.
 */
export const LedgerDesk = {
  make(post: PostBox, ledger: ReturnType<typeof Ledger.make>, self: () => Ident): void {
    post.on('ledger.open', LedgerWords.open, (b, from) => {
      if (b.life !== undefined && b.life !== self().born) return { say: 'unknown' };
      return { say: ledger.open(b.key, b.attempt, b.digest, b.proven, by(from)) };
    });
    post.on('ledger.step', LedgerWords.step, (b, from) => ({
      ok: ledger.step(b.key, b.attempt, b.digest, b.to, by(from)),
    }));
  },
};
