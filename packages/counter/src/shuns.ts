import type { Clock } from '@pumicebarrow/forms';

/**
 * Servers this daemon keeps away from, each until a moment of its own.
 * Invariant: a shun names one life of a server; the next life starts clean.
 */
export const Shuns = {
  make(clock: Clock) {
    let held: ReadonlyMap<string, { until: number; times: number }> = new Map();
    const key = (id: string, born: string): string => `${id}/${born}`;
    return {
      add(id: string, born: string, ms: number): void {
        const old = held.get(key(id, born));
        const times = (old?.times ?? 0) + 1;
        const next = new Map(held);
        next.set(key(id, born), { until: clock.mono() + Math.min(8000, ms * 2 ** (times - 1)), times });
        held = next;
      },
      clear(id: string, born: string): void {
        if (!held.has(key(id, born))) return;
        const next = new Map(held);
        next.delete(key(id, born));
        held = next;
      },
      has: (id: string, born: string): boolean => (held.get(key(id, born))?.until ?? -Infinity) > clock.mono(),
    };
  },
};
