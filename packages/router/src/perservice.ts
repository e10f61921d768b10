const MOST = 256;

/** One of something for each service. At most MOST are kept, those used last; one that was dropped begins anew. */
export const PerService = {
  make<T>(create: () => T) {
    const kept = new Map<string, T>();
    return {
      of(service: string): T {
        const one = kept.get(service) ?? create();
        kept.delete(service);
        kept.set(service, one);
        if (kept.size > MOST) kept.delete(kept.keys().next().value!);
        return one;
      },
    };
  },
};
