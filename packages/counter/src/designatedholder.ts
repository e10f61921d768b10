import { RendezvousHash, type Ident } from '@pumicebarrow/forms';

/**
 * Which of the live counter daemons should hold a named lease, by rendezvous hashing. Invariant: daemons with the same
 * roster come to the same result.
 */
export const DesignatedHolder = {
  of: (leaseName: string, roster: readonly Ident[]): Ident | null =>
    RendezvousHash.first(
      leaseName,
      roster.filter((r) => r.role === 'counter'),
      (r) => r.id,
    ) ?? null,
};
