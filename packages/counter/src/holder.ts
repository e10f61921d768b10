import { Lot, type Ident } from '@pumicebarrow/forms';

/** Which of the live counter daemons has the duty of a name. Invariant: all that see the same roster name the same. */
export const Holder = {
  of: (name: string, roster: readonly Ident[]): Ident | null =>
    Lot.first(
      name,
      roster.filter((r) => r.role === 'counter'),
      (r) => r.id,
    ) ?? null,
};
