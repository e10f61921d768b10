import { ExpiringMap, type Clock, type Ident } from '@pumicebarrow/forms';

const RETENTION_MS = 180_000;
const MAX_DAEMONS = 512;

/**
 * Daemons known recently, so that operators are still shown a daemon that has stopped answering.
 * Invariant: one entry per id, with its latest incarnation; a daemon that is gone for good is shown for three minutes.
 */
export const RecentDaemons = {
  make(clock: Clock, known: () => readonly Ident[]) {
    const recent = ExpiringMap.make<Ident>(clock.mono, MAX_DAEMONS);
    return {
      tick(): void {
        for (const ident of known()) recent.set(ident.id, ident, RETENTION_MS);
      },
      all: (): Ident[] => recent.values(),
    };
  },
};
