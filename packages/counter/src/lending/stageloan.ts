import type { Charter } from '@pumicebarrow/forms';
import type { Mix } from '@pumicebarrow/registry';

type Part = 'prefill' | 'decode' | 'either';
type Seen = {
  charter: Charter;
  mix: Pick<Mix, 'prefill' | 'lent' | 'swaps'>;
  /** Which part bursts are short of, 'either' if of none alone, null if there are none; for how many looks running. */
  wish: Part | null;
  looks: number;
  /** Where live work leans: towards more readers, fewer, or neither. */
  lean: number;
  /** How busy the busier part would be with one reader more, or fewer. */
  worst: (by: number) => number;
  servers: number;
  /** ms since the mix was last changed. */
  since: number;
  wall: number;
};
type Next = Pick<Mix, 'prefill' | 'lent' | 'swaps' | 'back'>;

const HOUR = 3_600_000;
const LOOKS = 10;
/** For how many looks nothing may be asked for before a server goes back. */
const FEW = 3;
/** No server is swapped for a burst where live work would fill more of either part than this. */
const QUIET = 0.35;

/**
 * Whether a server changes its part for bursts, or goes back. Pure. Invariants: at most one is lent so at a time, never
 * below the clause's floor, and no more often in an hour than it says; the way there needs many looks, a calm and a
 * quiet fleet, the way back one look at which live work leans that way, or a few at which nothing is borrowed.
 */
export const StageLoan = {
  next(s: Seen): Next | null {
    const clause = s.charter.casting.swing ? s.charter.lending?.swaps : undefined,
      lent = s.mix.lent ?? 0,
      swaps = (s.mix.swaps ?? []).filter((at) => at > s.wall - HOUR);
    if (lent !== 0) {
      const other = s.wish === (lent > 0 ? 'decode' : 'prefill') && s.looks >= LOOKS,
        none = s.wish === null && s.looks >= FEW;
      const still = clause && !other && !none;
      const live = Math.sign(s.lean) === -Math.sign(lent);
      return still && !live ? null : { prefill: s.mix.prefill - lent, lent: 0, swaps, back: true };
    }
    if (
      !clause ||
      s.wish === null ||
      s.wish === 'either' ||
      s.looks < LOOKS ||
      s.lean !== 0 ||
      s.since < s.charter.casting.calm
    )
      return null;
    const way = s.wish === 'prefill' ? 1 : -1,
      prefill = s.mix.prefill + way;
    const floors = prefill >= clause.floor.prefill && s.servers - prefill >= clause.floor.decode;
    if (!floors || swaps.length >= clause.hour || s.worst(way) > QUIET) return null;
    return { prefill, lent: way, swaps: [...swaps, s.wall], back: false };
  },
};
