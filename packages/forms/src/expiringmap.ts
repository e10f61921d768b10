type Entry<V> = { value: V; expiresAt: number };

/**
 * A map whose entries expire. Invariants: an expired entry is never returned; at most `maxEntries` are kept, and the
 * entry that was set longest ago is evicted first.
 */
export const ExpiringMap = {
  make<V>(mono: () => number, maxEntries: number) {
    const entries = new Map<string, Entry<V>>();
    const evict = (): void => {
      for (const [key, entry] of entries) if (entry.expiresAt <= mono()) entries.delete(key);
      for (const key of entries.keys()) {
        if (entries.size <= maxEntries) break;
        entries.delete(key);
      }
    };
    return {
      /** Sets an entry that expires after `ms`. */
      set(key: string, value: V, ms: number): void {
        entries.delete(key);
        entries.set(key, { value, expiresAt: mono() + ms });
        evict();
      },
      get(key: string): V | undefined {
        const entry = entries.get(key);
        return entry && entry.expiresAt > mono() ? entry.value : undefined;
      },
      delete: (key: string): boolean => entries.delete(key),
      values: (): V[] => [...entries.values()].filter((entry) => entry.expiresAt > mono()).map((entry) => entry.value),
      /** The number of entries kept, expired ones included. */
      size: (): number => entries.size,
    };
  },
};
