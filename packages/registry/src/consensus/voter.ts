import type { Result } from '@pumicebarrow/forms';
import type { CoreStore } from '../state/corestore.js';
import type { View } from './view.js';
import type { Vote } from './vote.js';
import { VoterRules } from './voterrules.js';

type Identity = { id: string; born: string };
type PrepareReply = { ok: boolean; wait: number; promised: number; took: Vote['took'] };

const leaseKey = (holder: Identity | undefined): string => (holder ? `${holder.id}/${holder.born}` : '');

/**
 * One voter (acceptor) in choosing the next view: single-decree Paxos for each epoch. Invariants: a promise or an
 * acceptance is synced before the reply; while a lease granted on the present view may be live, nothing is promised for
 * the next view; once something is promised, no lease on the present view is granted. `earlierLeasesUntil` is when the
 * last lease expires that an earlier run of this daemon may have granted. Nothing is promised or accepted for the next
 * view before the present one is on disk (`ensureViewSaved`): the promise would otherwise replace the only record of
 * the present view.
 */
export const Voter = {
  make(
    store: CoreStore,
    mono: () => number,
    restored: Vote | null,
    earlierLeasesUntil = 0,
    ensureViewSaved: () => Promise<boolean> = () => Promise.resolve(true),
  ) {
    let vote: Vote | null = restored;
    const leases = new Map([['', earlierLeasesUntil]]);
    let viewChangeUntil = 0;
    let presentEpoch = 0;
    let lastOperation: Promise<unknown> = Promise.resolve();
    const lastLeaseEnd = (): number => Math.max(...leases.values(), 0);
    const exclusively = <T>(operation: () => Promise<T>): Promise<T> => {
      const next = lastOperation.then(operation, operation);
      lastOperation = next;
      return next;
    };
    const persist = async (newVote: Vote): Promise<Result<void, string>> => {
      const result = await store.put('vote', newVote);
      if (result.ok) vote = newVote;
      return result;
    };
    const voteForEpoch = (epoch: number): Vote => VoterRules.voteForEpoch(vote, epoch);
    const refusal = (epoch: number, waitMs: number): PrepareReply => ({
      ok: false,
      wait: waitMs,
      promised: voteForEpoch(epoch).promised,
      took: null,
    });
    return {
      /** The view accepted last, or null. */
      acceptedView: (): View | null => vote?.took?.view ?? null,
      /** Grants a lease on the view of `epoch`, unless the next view is being prepared. */
      grantLease(epoch: number, leaseMs: number, holder?: Identity): boolean {
        if (mono() < viewChangeUntil || !VoterRules.mayGrantLease(vote, epoch)) return false;
        leases.set(leaseKey(holder), mono() + leaseMs);
        return true;
      },
      prepare: (epoch: number, ballot: number): Promise<PrepareReply> =>
        exclusively(async () => {
          if (epoch <= presentEpoch || !(await ensureViewSaved())) return refusal(epoch, 0);
          viewChangeUntil = mono() + 1500;
          const leasedForMs = lastLeaseEnd() - mono();
          const next = VoterRules.promise(vote, presentEpoch, epoch, ballot, leasedForMs > 0);
          if (!next) return refusal(epoch, Math.max(0, leasedForMs));
          const result = await persist(next);
          return result.ok ? { ok: true, wait: 0, promised: ballot, took: next.took } : refusal(epoch, 0);
        }),
      accept: (epoch: number, ballot: number, view: View): Promise<{ ok: boolean; promised: number }> =>
        exclusively(async () => {
          if (!(await ensureViewSaved())) return { ok: false, promised: voteForEpoch(epoch).promised };
          const next = VoterRules.accept(vote, presentEpoch, ballot, { ...view, epoch }, mono() < lastLeaseEnd());
          if (!next) return { ok: false, promised: voteForEpoch(epoch).promised };
          const result = await persist(next);
          return { ok: result.ok, promised: ballot };
        }),
      /** Drops the lease of a holder that released it, while a recall on the view of `epoch` is in progress. */
      releaseLease(epoch: number, holder: Identity): void {
        if (epoch === presentEpoch && mono() < viewChangeUntil) leases.delete(leaseKey(holder));
      },
      /** Called once a new view is in force; ends the recall on the old one and drops expired leases. */
      onViewChange(epoch: number): void {
        presentEpoch = epoch;
        viewChangeUntil = 0;
        for (const [holderKey, leaseEnd] of leases) if (leaseEnd <= mono()) leases.delete(holderKey);
      },
    };
  },
};
/** A voter as its callers see it. */
export type Voter = ReturnType<typeof Voter.make>;
