import { Hash } from '@pumicebarrow/forms';

const SHARD_COUNT = 8;

/** Bursts are cut by key into a few shards; who holds a shard's lease runs them. So leases don't grow with keys. */
export const Shards = {
  names: Array.from({ length: SHARD_COUNT }, (_, i) => `lend:${i}`),
  of: (key: string): string => `lend:${Hash.num(key) % SHARD_COUNT}`,
};
