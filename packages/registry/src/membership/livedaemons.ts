import type { Clock, Ident } from '@pumicebarrow/forms';
import { CoreTimings } from '../coretimings.js';

type Load = { read: number; write: number };
type Entry = { who: Ident; lastSeenAt: number; version: number; sum: string; load: Load };

/**
 * Daemons that checked in with the head. Soft state: lost with the head and rebuilt from check-ins. Invariant: a roster
 * is returned only once the head has listened for longer than the silence after which a daemon is dropped.
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
      record(who: Ident, version: number, sum: string, load: Load): void {
        const next = new Map(entries);
        next.set(who.id, { who, version, sum, load, lastSeenAt: clock.mono() });
        entries = next;
      },
      remove(id: string): void {
        const next = new Map(entries);
        next.delete(id);
        entries = next;
      },
      /** The live daemons by id; null while the head has not listened long enough. */
      roster: (): Ident[] | null =>
        clock.mono() - listeningSince < CoreTimings.daemonExpiryMs
          ? null
          : liveEntries()
              .map((s) => s.who)
              .sort((a, b) => (a.id < b.id ? -1 : 1)),
      totalLoad: (): Load =>
        liveEntries().reduce((a, s) => ({ read: a.read + s.load.read, write: a.write + s.load.write }), {
          read: 0,
          write: 0,
        }),
      /** Every daemon that has checked in, live or not, with the time since its last check-in. */
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
