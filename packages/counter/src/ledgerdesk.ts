import type { PostBox } from '@pumicebarrow/forms';
import type { Ledger } from './ledger.js';
import { LedgerWords } from './ledgerwords.js';

/** Opens the ledger owner's desk to the other daemons. */
export const LedgerDesk = {
  make(post: PostBox, ledger: ReturnType<typeof Ledger.make>): void {
    post.on('ledger.open', LedgerWords.open, (b, from) => ({ say: ledger.open(b.key, b.attempt, b.digest, b.proven, `${from.id}/${from.born}`) }));
    post.on('ledger.step', LedgerWords.step, (b, from) => ({ ok: ledger.step(b.key, b.attempt, b.digest, b.to, `${from.id}/${from.born}`) }));
  },
};
