import type { Result } from '@pumicebarrow/forms';
import type { Store } from '../state/store.js';
import type { View } from './view.js';
import type { Vote } from './vote.js';
import { VoterRules } from './voterrules.js';

type Who = { id: string; born: string };
type Prepared = { ok: boolean; wait: number; promised: number; took: Vote['took'] };

const key = (w: Who | undefined): string => (w ? `${w.id}/${w.born}` : '');

/**
 * One voter's part in choosing the next view: one single-decree agreement an epoch.
 * Invariants: a promise or an acceptance is synced before it is said; while a lease granted on the present
 * view may still be live, nothing is promised for the next; once something is, no lease on the present view is granted.
 * `until` is when the last lease ends that its life before this one may have granted. Nothing is promised or accepted
 * for the next view before the present one is on disk (`settled`): else a promise would take the place of the only word
 * of the present view.
 */
export const Voter = {
  make(
    store: Store,
    mono: () => number,
    kept: Vote | null,
    until = 0,
    settled: () => Promise<boolean> = () => Promise.resolve(true),
  ) {
    let vote: Vote | null = kept;
    const held = new Map([['', until]]);
    let moving = 0;
    let present = 0;
    let chain: Promise<unknown> = Promise.resolve();
    const last = (): number => Math.max(...held.values(), 0);
    const alone = <T>(fn: () => Promise<T>): Promise<T> => {
      const next = chain.then(fn, fn);
      chain = next;
      return next;
    };
    const save = async (v: Vote): Promise<Result<void, string>> => {
      const done = await store.put('vote', v);
      if (done.ok) vote = v;
      return done;
    };
    const at = (epoch: number): Vote => VoterRules.voteForEpoch(vote, epoch);
    const no = (epoch: number, wait: number): Prepared => ({
      ok: false,
      wait,
      promised: at(epoch).promised,
      took: null,
    });
    return {
      acceptedView: (): View | null => vote?.took?.view ?? null,
      /** Grants a lease on the view of `epoch`, unless the next view is under way. */
      grantLease(epoch: number, ms: number, who?: Who): boolean {
        if (mono() < moving || !VoterRules.mayGrant(vote, epoch)) return false;
        held.set(key(who), mono() + ms);
        return true;
      },
      prepare: (epoch: number, ballot: number): Promise<Prepared> =>
        alone(async () => {
          if (epoch <= present || !(await settled())) return no(epoch, 0);
          moving = mono() + 1500;
          const leasedFor = last() - mono();
          const next = VoterRules.promise(vote, present, epoch, ballot, leasedFor > 0);
          if (!next) return no(epoch, Math.max(0, leasedFor));
          const done = await save(next);
          return done.ok ? { ok: true, wait: 0, promised: ballot, took: next.took } : no(epoch, 0);
        }),
      accept: (epoch: number, ballot: number, view: View): Promise<{ ok: boolean; promised: number }> =>
        alone(async () => {
          if (!(await settled())) return { ok: false, promised: at(epoch).promised };
          const next = VoterRules.accept(vote, present, ballot, { ...view, epoch }, mono() < last());
          if (!next) return { ok: false, promised: at(epoch).promised };
          const done = await save(next);
          return { ok: done.ok, promised: ballot };
        }),
      /** One that held a lease on the view of `epoch` has laid it down. */
      releaseLease(epoch: number, who: Who): void {
        if (epoch === present && mono() < moving) held.delete(key(who));
      },
      /** A new view is in force; what was bound to the old one is over. */
      onViewChange(epoch: number): void {
        present = epoch;
        moving = 0;
        for (const [k, at] of held) if (at <= mono()) held.delete(k);
      },
    };
  },
};
/** A voter as its users see it. */
export type Voter = ReturnType<typeof Voter.make>;
