import { GarbageCollector } from './garbagecollector.js';
import type { MemoryAccount } from './memoryaccount.js';

/** Buffers that may wait for the garbage collector, and what is taken between two looks at them, by the capacity. */
const GARBAGE_SHARE = 1 / 2;
const CHECK_INTERVAL_SHARE = 1 / 8;
/** What may be pinned, so that there is room for others, and what may be pinned even then, by the capacity. */
const PINNED_SHARE = 3 / 4;
const SMALL_SHARE = 1 / 1024;

type Entry = { bytes: number; processBytes: number; isPinned: boolean; evict: () => void };

/**
 * Bounds the memory that peers make this process hold, over all of its connections. Invariants: the sum of all accounts
 * exceeds the capacity only by what is pinned; the account with the most bytes is evicted first, so that a peer
 * that holds little is not evicted for one that holds much.
 */
export const MemoryBudget = {
  make(capacityBytes: number) {
    const entries = new Set<Entry>();
    let total = 0;
    /** The part of the total that is in this process. */
    let inProcess = 0;
    let pinned = 0;
    let takenSinceCheck = 0;
    let evictions = 0;
    const remove = (entry: Entry): void => {
      if (!entries.delete(entry)) return;
      total -= entry.bytes;
      inProcess -= entry.processBytes;
      if (entry.isPinned) pinned -= entry.bytes;
    };
    const countTaken = (bytes: number): void => {
      takenSinceCheck += bytes;
      if (takenSinceCheck < capacityBytes * CHECK_INTERVAL_SHARE) return;
      takenSinceCheck = 0;
      GarbageCollector.keepBuffersBelow(inProcess + capacityBytes * GARBAGE_SHARE);
    };
    const largestEvictable = (): Entry | null => {
      let largest: Entry | null = null;
      for (const entry of entries)
        if (!entry.isPinned && entry.bytes > 0 && entry.bytes >= (largest?.bytes ?? 0)) largest = entry;
      return largest;
    };
    const evictUntilWithinCapacity = (): void => {
      while (total > capacityBytes) {
        const victim = largestEvictable();
        if (!victim) return;
        remove(victim);
        evictions++;
        victim.evict();
      }
    };
    return {
      heldBytes: (): number => total,
      /** How many holders have been evicted so far. */
      evictions: (): number => evictions,
      /** Opens an account. `evict` is called at most once, and has to free all that the account holds. */
      open(evict: () => void): MemoryAccount {
        const entry: Entry = { bytes: 0, processBytes: 0, isPinned: false, evict };
        entries.add(entry);
        return {
          hold(processBytes, kernelBytes = 0) {
            if (!entries.has(entry)) return false;
            const bytes = processBytes + kernelBytes;
            const growth = bytes - entry.bytes;
            inProcess += processBytes - entry.processBytes;
            entry.processBytes = processBytes;
            total += growth;
            if (entry.isPinned) pinned += growth;
            entry.bytes = bytes;
            if (growth <= 0) return true;
            evictUntilWithinCapacity();
            countTaken(growth);
            return entries.has(entry);
          },
          pin() {
            if (!entries.has(entry)) return false;
            const further = entry.isPinned ? 0 : entry.bytes;
            const isSmall = entry.bytes <= capacityBytes * SMALL_SHARE;
            if (!isSmall && pinned + further > capacityBytes * PINNED_SHARE) return false;
            pinned += further;
            entry.isPinned = true;
            return true;
          },
          unpin() {
            if (entry.isPinned && entries.has(entry)) pinned -= entry.bytes;
            entry.isPinned = false;
          },
          close: () => remove(entry),
        };
      },
    };
  },
};
export type MemoryBudget = ReturnType<typeof MemoryBudget.make>;
