import { createHash } from 'node:crypto';
import type { Piece } from './piece.js';

type ExpectedStream = { key: string; attempt: number; born: string };
type CheckResult =
  { ok: true; text?: string; n?: number; end?: { count: number; digest: string } } | { ok: false; reason: string };

/**
 * Validates a decode stream: each line must belong to this request and this incarnation of the server, pieces come
 * without gap or repetition, and the end must agree with them in count and digest.
 */
export const StreamValidator = {
  make(expected: ExpectedStream) {
    const hash = createHash('sha256');
    let lastPiece = 0;
    let ended = false;
    return {
      count: (): number => lastPiece,
      hasEnded: (): boolean => ended,
      check(line: Piece): CheckResult {
        if (ended) return { ok: false, reason: 'sent a line after the end' };
        if (line.key !== expected.key || line.attempt !== expected.attempt)
          return { ok: false, reason: 'sent a line of another request' };
        if (line.born !== expected.born)
          return { ok: false, reason: 'sent a line of another incarnation of the server' };
        if ('end' in line) {
          ended = true;
          const digest = hash.digest('hex').slice(0, 24);
          if (line.count !== lastPiece)
            return { ok: false, reason: `the end counts ${line.count} pieces, ${lastPiece} were received` };
          if (line.digest !== digest) return { ok: false, reason: 'the digest at the end does not match' };
          return { ok: true, end: { count: lastPiece, digest } };
        }
        if (line.n !== lastPiece + 1) return { ok: false, reason: `piece ${line.n} came after piece ${lastPiece}` };
        lastPiece = line.n;
        hash.update(`${line.n}:${line.text}\n`);
        return { ok: true, n: lastPiece, text: line.text };
      },
    };
  },
};
