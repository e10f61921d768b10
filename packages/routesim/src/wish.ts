import type { Prompt } from '@pumicebarrow/router';

/** What a client wants, through all its tries. Invariant: `total` events make the whole answer. */
export type Wish = {
  key: string;
  /** The key of a tenant that its client shows. */
  credentials: string;
  path: string;
  kind: 'idempotent' | 'once' | 'stream';
  resumable: boolean;
  service: string;
  prompt: Prompt | null;
  total: number;
};
