import type { Verdict } from '@pumicebarrow/forms';

/**
 * Destination of the response to a client request. Invariant: pieces are numbered from 1 without a gap, and at most
 * one of `end`, `abort` and `refuse` is called, once; `refuse` only before the first piece.
 */
export type ResponseWriter = {
  writePiece(n: number, text: string): void;
  end(count: number, digest: string): void;
  abort(verdict: Verdict): void;
  refuse(verdict: Verdict): void;
  isClientGone(): boolean;
};
