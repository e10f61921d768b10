import { VersionOrder, type RandomSource, type Clock, type Notice } from '@pumicebarrow/forms';
import { AgeWeighting } from './ageweighting.js';

/** A notice, and the monotonic time at which it was written. */
type Entry = { notice: Notice; writtenAt: number };

/**
 * The notices that a daemon passes on. Invariants: at most `size` are left after an exchange; there is one per record,
 * the one of the newest version; a notice is cached only while this daemon's record store holds its version.
 */
export const NoticeCache = {
  /** `minAge` is the lower bound on ages in the weightings. */
  make(clock: Clock, random: RandomSource, size: number, minAge: number) {
    let entries: readonly Entry[] = [];
    let evicted = 0;
    const age = (entry: Entry): number => clock.mono() - entry.writtenAt;
    return {
      all: (): readonly Notice[] => entries.map((entry) => ({ ...entry.notice, age: age(entry) })),
      /** The number of notices evicted so far. */
      evicted: (): number => evicted,
      /** Up to g notices to send, chosen by the weighting LINEAR. */
      sampleToSend: (g: number): Notice[] =>
        AgeWeighting.sample(random, entries, g, age, AgeWeighting.linear, minAge).map((entry) => ({
          ...entry.notice,
          age: age(entry),
          hops: entry.notice.hops + 1,
        })),
      add(notices: readonly Notice[]): void {
        const next = new Map(entries.map((entry) => [entry.notice.name, entry]));
        for (const notice of notices) {
          const known = next.get(notice.name);
          if (!known || VersionOrder.isNewer(notice.date, known.notice.date))
            next.set(notice.name, { notice, writtenAt: clock.mono() - notice.age });
        }
        entries = [...next.values()];
      },
      /** Reduces the cache to its size; the notices that stay are chosen by the weighting AGE2. */
      evictExcess(): void {
        if (entries.length <= size) return;
        evicted += entries.length - size;
        entries = AgeWeighting.sample(random, entries, size, age, AgeWeighting.inverseSquare, minAge);
      },
    };
  },
};
