import { Hash } from '@pumicebarrow/forms';

/** Characters of a chunk at the least and at the most; beyond the least one place in 256 is an end. */
const LEAST = 512;
const MOST = 8192;
const BITS = 8;
const WIDTH = 7;
const GEAR = Int32Array.from({ length: 256 }, (_, i) => Hash.num(`gear ${i}`) | 0);

/**
 * A text in chunks that end where the last 32 characters say (content-defined chunking by a gear hash), so that a
 * change moves the ends about it alone. Invariants: chunks joined are the text; equal texts are cut alike everywhere.
 */
export const Chunks = {
  DIGEST_CHARS: WIDTH,
  split(text: string): string[] {
    const out: string[] = [];
    let from = 0,
      hash = 0;
    for (let i = 0; i < text.length; i++) {
      hash = ((hash << 1) + GEAR[text.charCodeAt(i) & 255]!) | 0;
      const size = i + 1 - from;
      if (size < MOST && (size < LEAST || hash >>> (32 - BITS) !== 0)) continue;
      out.push(text.slice(from, i + 1));
      from = i + 1;
      hash = 0;
    }
    if (from < text.length) out.push(text.slice(from));
    return out;
  },
  /** A short digest, by which chunks are found; it proves nothing. */
  digest: (chunk: string): string => Hash.num(chunk).toString(36).padStart(WIDTH, '0'),
};
