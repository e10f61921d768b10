import { createHash } from 'node:crypto';
import type { DecodeStreamLine } from './decodestreamline.js';

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
      check(line: DecodeStreamLine): CheckResult {
        if (ended) return { ok: false, reason: 'a line came after the end' };
        if (line.key !== expected.key || line.attempt !== expected.attempt)
          return { ok: false, reason: 'a line of another request' };
        if (line.born !== expected.born) return { ok: false, reason: 'a line of another life of the server' };
        if ('end' in line) {
          ended = true;
          const digest = hash.digest('hex').slice(0, 24);
          if (line.count !== lastPiece)
            return { ok: false, reason: `the end counts ${line.count} pieces, ${lastPiece} came` };
          if (line.digest !== digest) return { ok: false, reason: 'the end has another digest' };
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
