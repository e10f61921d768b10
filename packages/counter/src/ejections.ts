import { ExpiringMap, type Clock } from '@pumicebarrow/forms';

type Ejection = { until: number; count: number };
const MAX_EJECTION_MS = 8000;
/** How long the number of an incarnation's ejections is remembered. */
const RETENTION_MS = 60_000;
/** Of how many incarnations it is remembered. */
const MAX_ENTRIES = 1024;

/**
 * Servers to which this daemon temporarily sends nothing; each further ejection of a server lasts twice as long.
 * Invariants: an ejection applies to one incarnation of a server, the next one starts clean; incarnations long past are
 * forgotten.
 */
export const Ejections = {
  make(clock: Clock) {
    const ejections = ExpiringMap.make<Ejection>(clock.mono, MAX_ENTRIES);
    const keyOf = (id: string, incarnation: string): string => `${id}/${incarnation}`;
    return {
      add(id: string, incarnation: string, ms: number): void {
        const count = (ejections.get(keyOf(id, incarnation))?.count ?? 0) + 1;
        const until = clock.mono() + Math.min(MAX_EJECTION_MS, ms * 2 ** (count - 1));
        ejections.set(keyOf(id, incarnation), { until, count }, RETENTION_MS);
      },
      clear(id: string, incarnation: string): void {
        ejections.delete(keyOf(id, incarnation));
      },
      has: (id: string, incarnation: string): boolean =>
        (ejections.get(keyOf(id, incarnation))?.until ?? -Infinity) > clock.mono(),
      size: ejections.size,
    };
  },
};
