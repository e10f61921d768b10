import { Hash } from '@pumicebarrow/forms';

/** What a stand-in server answers: known to callers beforehand, so that every piece can be checked. */
export const Text = {
  digest: (prefix: string, part: string): string => Hash.ofText(prefix + part),
  count: (digest: string, most: number): number => 1 + (Hash.uint32(digest) % Math.min(most, 24)),
  piece: (digest: string, n: number): string => Hash.ofText(`${digest} ${n}`).slice(0, 8),
};
