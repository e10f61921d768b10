const MAX_SERVICES = 256;

/**
 * Keeps one value per service, for at most MAX_SERVICES services. The least recently used one is dropped, and its
 * service starts anew.
 */
export const PerService = {
  make<T>(create: () => T) {
    const entries = new Map<string, T>();
    return {
      of(service: string): T {
        const entry = entries.get(service) ?? create();
        entries.delete(service);
        entries.set(service, entry);
        if (entries.size > MAX_SERVICES) entries.delete(entries.keys().next().value!);
        return entry;
      },
    };
  },
};
