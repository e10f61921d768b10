import { Fading, type Clock } from '@pumicebarrow/forms';

type Shun = { until: number; times: number };
const LONGEST = 8000;
/** How long it is remembered how often a life was shunned, and of how many lives. */
const KEEP = 60_000;
const MOST = 1024;

/**
 * Servers this daemon keeps away from, each until a moment of its own.
 * Invariants: a shun names one life of a server; the next life starts clean; lives long past are forgotten.
 */
export const Shuns = {
  make(clock: Clock) {
    const held = Fading.make<Shun>(clock.mono, MOST);
    const key = (id: string, born: string): string => `${id}/${born}`;
    return {
      add(id: string, born: string, ms: number): void {
        const times = (held.get(key(id, born))?.times ?? 0) + 1;
        const until = clock.mono() + Math.min(LONGEST, ms * 2 ** (times - 1));
        held.set(key(id, born), { until, times }, KEEP);
      },
      clear(id: string, born: string): void {
        held.delete(key(id, born));
      },
      has: (id: string, born: string): boolean => (held.get(key(id, born))?.until ?? -Infinity) > clock.mono(),
      size: held.size,
    };
  },
};
