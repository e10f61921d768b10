import { Hash } from '@pumicebarrow/forms';
import { createHash } from 'node:crypto';

/** What a stand-in server answers: known to callers beforehand, so that every piece can be checked. */
export const Text = {
  digest: (prefix: string, part: string): string => Hash.text(prefix + part),
  count: (digest: string, most: number): number => 1 + (Hash.num(digest) % Math.min(most, 24)),
  /** The digest over numbered pieces, as it stands at the end of a stream. */
  seal: (pieces: readonly string[]): string =>
    createHash('sha256')
      .update(pieces.map((text, i) => `${i + 1}:${text}\n`).join(''))
      .digest('hex')
      .slice(0, 24),
  piece: (digest: string, n: number): string => Hash.text(`${digest} ${n}`).slice(0, 8),
};
