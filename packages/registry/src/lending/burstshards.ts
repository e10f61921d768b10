import { Hash } from '@pumicebarrow/forms';

const SHARD_COUNT = 8;

/**
 * Partitions bursts by key into a fixed number of shards. The holder of a shard's lease runs its bursts, so the number
 * of leases does not grow with the number of bursts.
 */
export const BurstShards = {
  leaseNames: Array.from({ length: SHARD_COUNT }, (_, i) => `lend:${i}`),
  leaseNameOf: (key: string): string => `lend:${Hash.uint32(key) % SHARD_COUNT}`,
};
