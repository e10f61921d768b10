import { createHash } from 'node:crypto';

/** Hash functions. */
export const Hash = {
  /** The first 24 hexadecimal digits of the SHA-256 of a text. */
  ofText: (text: string): string => createHash('sha256').update(text).digest('hex').slice(0, 24),
  /** The same digest of a value's JSON. */
  ofValue: (value: unknown): string => Hash.ofText(JSON.stringify(value) ?? 'undefined'),
  /** A fast, non-cryptographic 32-bit hash for rendezvous hashing and range digests (FNV-1a with a final mix). */
  uint32(text: string): number {
    let h = 0x811c9dc5;
    for (let i = 0; i < text.length; i++) h = Math.imul(h ^ text.charCodeAt(i), 0x01000193);
    h ^= h >>> 16;
    h = Math.imul(h, 0x85ebca6b);
    h ^= h >>> 13;
    h = Math.imul(h, 0xc2b2ae35);
    return (h ^ (h >>> 16)) >>> 0;
  },
};
