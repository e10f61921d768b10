import { Fading, type Clock, type Ident } from '@pumicebarrow/forms';

const KEEP = 180_000;
const MOST = 512;

/**
 * Daemons that were known here lately, so that one which has fallen silent is still named to operators.
 * Invariant: one an id, the latest life; a daemon that is gone for good is named for three minutes.
 */
export const Met = {
  make(clock: Clock, known: () => readonly Ident[]) {
    const held = Fading.make<Ident>(clock.mono, MOST);
    return {
      tick(): void {
        for (const k of known()) held.set(k.id, k, KEEP);
      },
      all: (): Ident[] => held.all(),
    };
  },
};
