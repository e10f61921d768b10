import { createHash } from 'node:crypto';

/** Digests. */
export const Hash = {
  text: (s: string): string => createHash('sha256').update(s).digest('hex').slice(0, 24),
  of: (v: unknown): string => Hash.text(JSON.stringify(v) ?? 'undefined'),
  /** A quick 32-bit number for rendezvous and ranges (FNV-1a with a final mix). */
  num(s: string): number {
    let h = 0x811c9dc5;
    for (let i = 0; i < s.length; i++) h = Math.imul(h ^ s.charCodeAt(i), 0x01000193);
    h ^= h >>> 16;
    h = Math.imul(h, 0x85ebca6b);
    h ^= h >>> 13;
    h = Math.imul(h, 0xc2b2ae35);
    return (h ^ (h >>> 16)) >>> 0;
  },
};
