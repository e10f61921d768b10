import type { Verdict } from '@pumicebarrow/forms';

/**
 * Where a request's answer goes. Invariant: pieces come numbered from 1 without a gap, and at most one of
 * `end`, `cut` and `refuse` is called, once; `refuse` only before the first piece.
 */
export type CallerSink = {
  piece(n: number, text: string): void;
  end(count: number, digest: string): void;
  cut(verdict: Verdict): void;
  refuse(verdict: Verdict): void;
  gone(): boolean;
};
