import { createHash, type Hash } from 'node:crypto';

/** The running digest over numbered pieces, by which the two sides of a stream agree on what has come. */
export const PieceHash = {
  /** Over these pieces, from the first. */
  over(pieces: readonly string[]): Hash {
    const hash = createHash('sha256');
    pieces.forEach((text, i) => hash.update(`${i + 1}:${text}\n`));
    return hash;
  },
  short: (hash: Hash): string => hash.copy().digest('hex').slice(0, 24),
};
