import { Verdicts } from '@pumicebarrow/forms';
import { Apply } from '../state/apply.js';
import type { Command } from './command.js';
import type { CoreState } from '../state/corestate.js';
import type { CommandResult } from './ruling.js';

/** A command that waits for its turn at the head, and whom to tell what came of it. */
type PendingCommand = { command: Command; reply: (r: CommandResult) => void };
type RuledCommand = { pending: PendingCommand; ruling: CommandResult; changedState: boolean };

const indeterminate: CommandResult = {
  verdict: Verdicts.maybe('unsure', 'The chain broke under the write; ask for the plan to learn its fate.'),
};
/** What is told when the version did not reach the tail: 'no' only of what wrote nothing and said no. */
const resultAfterBreak = (r: RuledCommand): CommandResult =>
  r.changedState || r.ruling.verdict.ran !== 'no'
    ? indeterminate
    : { verdict: Verdicts.not('unready', 'The chain broke.', 1) };

/**
 * Commands that go into one version together. Invariants: each is ruled on the state that the one before left; the
 * version's number rises by one if any of them wrote, and none is told before the version has passed or has failed.
 */
export const Batch = {
  apply(state: CoreState, batch: readonly PendingCommand[]): { next: CoreState; ruled: readonly RuledCommand[] } {
    let current = state;
    const ruled = batch.map((pending) => {
      const before = current,
        outcome = Apply.one(current, pending.command);
      current = outcome.state;
      return { pending, ruling: outcome.ruling, changedState: before !== outcome.state };
    });
    return { next: current === state ? state : { ...current, seq: state.seq + 1 }, ruled: ruled };
  },
  reply(ruled: readonly RuledCommand[], committed: boolean): void {
    for (const r of ruled) r.pending.reply(committed ? r.ruling : resultAfterBreak(r));
  },
  /** Refused before anything was begun. */
  refuse(batch: readonly PendingCommand[], reason: string): void {
    for (const pending of batch) pending.reply({ verdict: Verdicts.not('unready', reason, 1) });
  },
};
