import { Hash } from '@pumicebarrow/forms';

const MIN_CHUNK_CHARS = 512;
const MAX_CHUNK_CHARS = 8192;
/** Beyond the minimum length, one position in 2^8 = 256 is a chunk boundary. */
const BOUNDARY_BITS = 8;
const DIGEST_CHARS = 7;
const GEAR_TABLE = Int32Array.from({ length: 256 }, (_, i) => Hash.uint32(`gear ${i}`) | 0);

/**
 * Content-defined chunking with a gear hash: whether a chunk ends at a position depends on the last 32 characters, so a
 * change of the text moves only the boundaries near it. Invariants: the concatenated chunks are the text; equal texts
 * are split alike on all daemons.
 */
export const Chunks = {
  DIGEST_CHARS,
  split(text: string): string[] {
    const chunks: string[] = [];
    let start = 0,
      hash = 0;
    for (let i = 0; i < text.length; i++) {
      hash = ((hash << 1) + GEAR_TABLE[text.charCodeAt(i) & 255]!) | 0;
      const size = i + 1 - start;
      if (size < MAX_CHUNK_CHARS && (size < MIN_CHUNK_CHARS || hash >>> (32 - BOUNDARY_BITS) !== 0)) continue;
      chunks.push(text.slice(start, i + 1));
      start = i + 1;
      hash = 0;
    }
    if (start < text.length) chunks.push(text.slice(start));
    return chunks;
  },
  /** A short digest by which chunks are looked up. It may collide, so the whole text needs a digest of its own. */
  digest: (chunk: string): string => Hash.uint32(chunk).toString(36).padStart(DIGEST_CHARS, '0'),
};
