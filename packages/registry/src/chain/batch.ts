import { Verdicts } from '@pumicebarrow/forms';
import { Apply } from '../state/apply.js';
import type { Command } from './command.js';
import type { CoreState } from '../state/corestate.js';
import type { CommandResult } from './ruling.js';

/** A command that waits for its turn at the head, and whom to tell what came of it. */
type Wait = { command: Command; done: (r: CommandResult) => void };
type Ruled = { wait: Wait; ruling: CommandResult; wrote: boolean };

const unsure: CommandResult = {
  verdict: Verdicts.maybe('unsure', 'The chain broke under the write; ask for the plan to learn its fate.'),
};
/** What is told when the version did not reach the tail: 'no' only of what wrote nothing and said no. */
const broken = (r: Ruled): CommandResult =>
  r.wrote || r.ruling.verdict.ran !== 'no' ? unsure : { verdict: Verdicts.not('unready', 'The chain broke.', 1) };

/**
 * Commands that go into one version together. Invariants: each is ruled on the state that the one before left; the
 * version's number rises by one if any of them wrote, and none is told before the version has passed or has failed.
 */
export const Batch = {
  apply(state: CoreState, batch: readonly Wait[]): { next: CoreState; out: readonly Ruled[] } {
    let draft = state;
    const out = batch.map((wait) => {
      const before = draft,
        done = Apply.one(draft, wait.command);
      draft = done.state;
      return { wait, ruling: done.ruling, wrote: before !== done.state };
    });
    return { next: draft === state ? state : { ...draft, seq: state.seq + 1 }, out };
  },
  reply(out: readonly Ruled[], passed: boolean): void {
    for (const r of out) r.wait.done(passed ? r.ruling : broken(r));
  },
  /** Refused before anything was begun. */
  refuse(batch: readonly Wait[], why: string): void {
    for (const w of batch) w.done({ verdict: Verdicts.not('unready', why, 1) });
  },
};
