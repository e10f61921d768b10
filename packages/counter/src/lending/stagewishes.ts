import type { Clock, Ident } from '@pumicebarrow/forms';

type Part = 'prefill' | 'decode' | 'either';
const FRESH = 1200;

/** Which part bursts are short of, by what their runners say. Invariant: the burst begun first is heard. */
export const StageWishes = {
  make(clock: Clock) {
    let said: readonly { who: string; part: Part; order: number; at: number }[] = [];
    const fresh = (): typeof said => said.filter((w) => clock.mono() - w.at < FRESH);
    return {
      heard(from: Ident, part: Part, order: number): void {
        said = [...fresh().filter((w) => w.who !== from.id), { who: from.id, part, order, at: clock.mono() }];
      },
      part: (): Part | null => [...fresh()].sort((a, b) => a.order - b.order)[0]?.part ?? null,
    };
  },
};
