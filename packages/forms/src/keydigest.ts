import { createHash } from 'node:crypto';

/** Base64 characters that are kept: 132 bits, more than the entropy of a key. */
const DIGEST_CHARS = 22;

/**
 * The SHA-256 digest that stands for a tenant's key wherever the key itself is not needed. A lookup by digest leaks
 * nothing about a key through its timing, since an attacker cannot choose the prefix of a guess's digest.
 */
export const KeyDigest = {
  of: (key: string): string => createHash('sha256').update(key).digest('base64url').slice(0, DIGEST_CHARS),
};
