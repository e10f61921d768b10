import type { Piece } from './piece.js';
import { PieceHash } from './piecehash.js';

type Told = { key: string; attempt: number; born: string };
type Look =
  { ok: true; text?: string; n?: number; end?: { count: number; digest: string } } | { ok: false; why: string };

/** Holds a stream to its word: this request, this server's life, no gap, no piece twice, and an end that agrees. */
export const StreamCheck = {
  /** `begun` are the pieces that an earlier stream brought: this one goes on after them, and its end counts them. */
  make(told: Told, begun: readonly string[] = []) {
    const hash = PieceHash.over(begun);
    let n = begun.length;
    let over = false;
    return {
      /** How many pieces this stream brought. */
      count: (): number => n - begun.length,
      over: (): boolean => over,
      look(p: Piece): Look {
        if (over) return { ok: false, why: 'a line came after the end' };
        if (p.key !== told.key || p.attempt !== told.attempt) return { ok: false, why: 'a line of another request' };
        if (p.born !== told.born) return { ok: false, why: 'a line of another life of the server' };
        if ('end' in p) {
          over = true;
          const digest = PieceHash.short(hash);
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
