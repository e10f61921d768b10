import type { Clock, Ident } from '@pumicebarrow/forms';
import { CoreTimings } from '../coretimings.js';

type Load = { read: number; write: number };
type Seen = { who: Ident; at: number; version: number; sum: string; load: Load };

/**
 * Who is live, as the head has heard. Soft: lost with the head and learnt again.
 * Invariant: a roster is given out only once the head has listened for longer than a silence that drops a daemon.
 */
export const LiveDaemons = {
  make(clock: Clock) {
    let seen: ReadonlyMap<string, Seen> = new Map();
    let since = clock.mono();
    const live = (): Seen[] => [...seen.values()].filter((s) => clock.mono() - s.at < CoreTimings.daemonExpiryMs);
    return {
      reset(): void {
        seen = new Map();
        since = clock.mono();
      },
      note(who: Ident, version: number, sum: string, load: Load): void {
        const next = new Map(seen);
        next.set(who.id, { who, version, sum, load, at: clock.mono() });
        seen = next;
      },
      remove(id: string): void {
        const next = new Map(seen);
        next.delete(id);
        seen = next;
      },
      roster: (): Ident[] | null =>
        clock.mono() - since < CoreTimings.daemonExpiryMs
          ? null
          : live()
              .map((s) => s.who)
              .sort((a, b) => (a.id < b.id ? -1 : 1)),
      load: (): Load =>
        live().reduce((a, s) => ({ read: a.read + s.load.read, write: a.write + s.load.write }), { read: 0, write: 0 }),
      withAges: () =>
        [...seen.values()].map((s) => ({ who: s.who, version: s.version, sum: s.sum, age: clock.mono() - s.at })),
    };
  },
};
