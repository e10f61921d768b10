import { createHash } from 'node:crypto';
import type { Piece } from './piece.js';

type Told = { key: string; attempt: number; born: string };
type Look =
  { ok: true; text?: string; n?: number; end?: { count: number; digest: string } } | { ok: false; why: string };

/** Holds a stream to its word: this request, this server's life, no gap, no piece twice, and an end that agrees. */
export const StreamCheck = {
  make(told: Told) {
    const hash = createHash('sha256');
    let n = 0;
    let over = false;
    return {
      count: (): number => n,
      over: (): boolean => over,
      look(p: Piece): Look {
        if (over) return { ok: false, why: 'a line came after the end' };
        if (p.key !== told.key || p.attempt !== told.attempt) return { ok: false, why: 'a line of another request' };
        if (p.born !== told.born) return { ok: false, why: 'a line of another life of the server' };
        if ('end' in p) {
          over = true;
          const digest = hash.digest('hex').slice(0, 24);
          if (p.count !== n) return { ok: false, why: `the end counts ${p.count} pieces, ${n} came` };
          if (p.digest !== digest) return { ok: false, why: 'the end has another digest' };
          return { ok: true, end: { count: n, digest } };
        }
        if (p.n !== n + 1) return { ok: false, why: `piece ${p.n} came after piece ${n}` };
        n = p.n;
        hash.update(`${p.n}:${p.text}\n`);
        return { ok: true, n, text: p.text };
      },
    };
  },
};
