import { Verdicts } from '@pumicebarrow/forms';
import { CoreStateMachine } from '../state/corestatemachine.js';
import type { Command } from './command.js';
import type { CoreState } from '../state/corestate.js';
import type { CommandResult } from './commandresult.js';

/** A command queued at the head, with the callback that receives its result. */
type PendingCommand = { command: Command; reply: (r: CommandResult) => void };
/** A command with its result, and whether it changed the state. */
type RuledCommand = { pending: PendingCommand; ruling: CommandResult; changedState: boolean };

const indeterminate: CommandResult = {
  verdict: Verdicts.maybeRun('unsure', 'The chain broke under the write; ask for the plan to learn its fate.'),
};
/**
 * The result sent when the version did not reach the tail. 'no' is sent only for a command that changed nothing and was
 * refused.
 */
const resultAfterBreak = (r: RuledCommand): CommandResult =>
  r.changedState || r.ruling.verdict.ran !== 'no'
    ? indeterminate
    : { verdict: Verdicts.notRun('unready', 'The chain broke.', 1) };

/**
 * Commands that are applied together as one version of the state. Invariants: each command is applied to the state left
 * by the one before it; the sequence number rises by one if any command changed the state; no caller is answered before
 * the version is committed or has failed.
 */
export const Batch = {
  /** Applies the commands in order and returns the next version and each command's result. */
  apply(state: CoreState, batch: readonly PendingCommand[]): { next: CoreState; ruled: readonly RuledCommand[] } {
    let current = state;
    const ruled = batch.map((pending) => {
      const before = current,
        outcome = CoreStateMachine.apply(current, pending.command);
      current = outcome.state;
      return { pending, ruling: outcome.ruling, changedState: before !== outcome.state };
    });
    return { next: current === state ? state : { ...current, seq: state.seq + 1 }, ruled };
  },
  /** Answers the callers once the version is committed (`committed`) or its fate is unknown. */
  reply(ruled: readonly RuledCommand[], committed: boolean): void {
    for (const r of ruled) r.pending.reply(committed ? r.ruling : resultAfterBreak(r));
  },
  /** Refuses every command of a batch of which nothing has been applied. */
  refuse(batch: readonly PendingCommand[], reason: string): void {
    for (const pending of batch) pending.reply({ verdict: Verdicts.notRun('unready', reason, 1) });
  },
};
