import { Lot, type Ident } from '@pumicebarrow/forms';

/**
 * Which of the live counter daemons should hold a named lease, by rendezvous hashing. Invariant: daemons with the same
 * roster come to the same result.
 */
export const Holder = {
  of: (leaseName: string, roster: readonly Ident[]): Ident | null =>
    Lot.first(
      leaseName,
      roster.filter((r) => r.role === 'counter'),
      (r) => r.id,
    ) ?? null,
};
