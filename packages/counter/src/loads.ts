/** What this daemon has under way at each server, in weights, and how long hand-overs between two servers took. */
export const Loads = {
  make() {
    const held = new Map<string, number>();
    const links = new Map<string, number>();
    return {
      at: (id: string): number => held.get(id) ?? 0,
      take(id: string, weight: number): () => void {
        held.set(id, (held.get(id) ?? 0) + weight);
        let open = true;
        return () => {
          if (open) held.set(id, Math.max(0, (held.get(id) ?? 0) - weight));
          open = false;
        };
      },
      link: (from: string, to: string): number => links.get(`${from}>${to}`) ?? 0,
      timed(from: string, to: string, ms: number): void {
        const k = `${from}>${to}`, old = links.get(k);
        links.set(k, old === undefined ? ms : old * 0.7 + ms * 0.3);
      },
    };
  },
};
