type Entry<V> = { value: V; until: number };

/**
 * A table whose entries end by themselves. Invariants: an entry past its end is not seen; no more than `most` are
 * kept, and the one that was set longest ago goes first.
 */
export const Fading = {
  make<V>(mono: () => number, most: number) {
    const rows = new Map<string, Entry<V>>();
    const tidy = (): void => {
      for (const [k, e] of rows) if (e.until <= mono()) rows.delete(k);
      for (const k of rows.keys()) {
        if (rows.size <= most) break;
        rows.delete(k);
      }
    };
    return {
      set(key: string, value: V, ms: number): void {
        rows.delete(key);
        rows.set(key, { value, until: mono() + ms });
        tidy();
      },
      get(key: string): V | undefined {
        const e = rows.get(key);
        return e && e.until > mono() ? e.value : undefined;
      },
      delete: (key: string): boolean => rows.delete(key),
      all: (): V[] => [...rows.values()].filter((e) => e.until > mono()).map((e) => e.value),
      size: (): number => rows.size,
    };
  },
};
