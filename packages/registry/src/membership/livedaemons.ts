import type { Clock, Ident } from '@pumicebarrow/forms';
import { CoreTimings } from '../coretimings.js';

type Load = { read: number; write: number };
type Entry = { who: Ident; lastSeenAt: number; version: number; sum: string; load: Load };

/**
 * Who is live, as the head has heard. Soft: lost with the head and learnt again.
 * Invariant: a roster is given out only once the head has listened for longer than a silence that drops a daemon.
 */
export const LiveDaemons = {
  make(clock: Clock) {
    let entries: ReadonlyMap<string, Entry> = new Map();
    let listeningSince = clock.mono();
    const liveEntries = (): Entry[] =>
      [...entries.values()].filter((s) => clock.mono() - s.lastSeenAt < CoreTimings.daemonExpiryMs);
    return {
      reset(): void {
        entries = new Map();
        listeningSince = clock.mono();
      },
      note(who: Ident, version: number, sum: string, load: Load): void {
        const next = new Map(entries);
        next.set(who.id, { who, version, sum, load, lastSeenAt: clock.mono() });
        entries = next;
      },
      remove(id: string): void {
        const next = new Map(entries);
        next.delete(id);
        entries = next;
      },
      roster: (): Ident[] | null =>
        clock.mono() - listeningSince < CoreTimings.daemonExpiryMs
          ? null
          : liveEntries()
              .map((s) => s.who)
              .sort((a, b) => (a.id < b.id ? -1 : 1)),
      load: (): Load =>
        liveEntries().reduce((a, s) => ({ read: a.read + s.load.read, write: a.write + s.load.write }), {
          read: 0,
          write: 0,
        }),
      withAges: () =>
        [...entries.values()].map((s) => ({
          who: s.who,
          version: s.version,
          sum: s.sum,
          age: clock.mono() - s.lastSeenAt,
        })),
    };
  },
};
