import type { View } from './view.js';
import type { Vote } from './vote.js';

/**
 * What one voter may promise, accept and grant, as pure functions of its vote. `leased` says whether a lease that it
 * granted on the present view may still be live. Invariants: promised ballots only rise; nothing is promised or
 * accepted for the next view while a lease on the present one may be live, and no lease is granted once something is
 * promised.
 */
export const VoterRules = {
  /** The voter's vote for an epoch; an empty one if it has none. */
  voteForEpoch: (vote: Vote | null, epoch: number): Vote =>
    vote && vote.epoch === epoch ? vote : { epoch, promised: 0, took: null },
  /** Whether an epoch is over for a voter whose view is of the epoch `presentEpoch`. */
  isEpochOver: (vote: Vote | null, presentEpoch: number, epoch: number): boolean =>
    epoch <= presentEpoch || (vote !== null && epoch < vote.epoch),
  /** Whether a lease on the view of an epoch may be granted: not once the voter has promised a later one. */
  mayGrantLease: (vote: Vote | null, epoch: number): boolean =>
    vote === null || vote.epoch <= epoch || (vote.epoch === epoch + 1 && vote.promised === 0),
  /** The vote after promising a ballot; null if the ballot must be refused. */
  promise(vote: Vote | null, presentEpoch: number, epoch: number, ballot: number, leased: boolean): Vote | null {
    const current = VoterRules.voteForEpoch(vote, epoch);
    if (leased || VoterRules.isEpochOver(vote, presentEpoch, epoch) || ballot <= current.promised) return null;
    return { ...current, promised: ballot };
  },
  /** The vote after accepting a view; null if it must be refused. */
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
  /**
   * The view that a proposer must propose: the one accepted under the highest ballot among the promises, else its own.
   */
  chooseView(promises: readonly { took?: Vote['took'] }[], ownProposal: View): View {
    const highest = promises.flatMap((p) => (p.took ? [p.took] : [])).sort((a, b) => b.ballot - a.ballot)[0];
    return highest ? highest.view : ownProposal;
  },
};
