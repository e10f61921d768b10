import type { View } from './view.js';
import type { Vote } from './vote.js';

/**
 * What one voter may say, as pure functions of what it has said before. `leased` tells whether a lease that it granted
 * on the present view may still be live. Invariants: promises only rise; nothing is promised or accepted for the next
 * view while a lease on the present one may be live, and no lease is granted once something is promised.
 */
export const VoterRules = {
  /** What the voter is bound to for an epoch. */
  voteForEpoch: (vote: Vote | null, epoch: number): Vote =>
    vote && vote.epoch === epoch ? vote : { epoch, promised: 0, took: null },
  /** Whether an epoch is over for a voter whose view is of the epoch `present`. */
  isEpochOver: (vote: Vote | null, presentEpoch: number, epoch: number): boolean =>
    epoch <= presentEpoch || (vote !== null && epoch < vote.epoch),
  /** Whether a lease on the view of an epoch may be granted: not once the voter is bound to any later one. */
  mayGrant: (vote: Vote | null, epoch: number): boolean =>
    vote === null || vote.epoch <= epoch || (vote.epoch === epoch + 1 && vote.promised === 0),
  /** The vote with a ballot promised; null where it may not be. */
  promise(vote: Vote | null, presentEpoch: number, epoch: number, ballot: number, leased: boolean): Vote | null {
    const current = VoterRules.voteForEpoch(vote, epoch);
    if (leased || VoterRules.isEpochOver(vote, presentEpoch, epoch) || ballot <= current.promised) return null;
    return { ...current, promised: ballot };
  },
  /** The vote with a view accepted; null where it may not be. */
  accept(vote: Vote | null, presentEpoch: number, ballot: number, view: View, leased: boolean): Vote | null {
    const { epoch } = view;
    if (
      leased ||
      VoterRules.isEpochOver(vote, presentEpoch, epoch) ||
      ballot < VoterRules.voteForEpoch(vote, epoch).promised
    )
      return null;
    return { epoch, promised: ballot, took: { ballot, view } };
  },
  /** What a proposer must propose: the view of the highest ballot accepted by any that promised, else its own. */
  choice(promises: readonly { took?: Vote['took'] }[], ownProposal: View): View {
    const highest = promises.flatMap((p) => (p.took ? [p.took] : [])).sort((a, b) => b.ballot - a.ballot)[0];
    return highest ? highest.view : ownProposal;
  },
};
