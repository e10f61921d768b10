import type { View, Vote } from '@pumicebarrow/registry';

/** A daemon that may be one of the first view. */
type Candidate = {
  id: string;
  /** On disk. */
  vote: Vote | null;
  view: View | null;
  /** In memory: other candidates that it met, and daemons that it was told of. */
  met: readonly string[];
  told: readonly string[];
  /** A first view that it proposes, to whom, and whether they have promised. */
  round: { ballot: number; value: View; promisers: readonly string[]; promised: boolean } | null;
};
/** A seed that is no candidate and lets candidates find each other. */
type Introducer = { id: string; met: readonly string[] };

/** How often each trouble may still strike, and how many views may still be proposed. */
type Budget = { restart: number; cut: number; propose: number; forget: number };

/**
 * One state of the model of the first view: candidates, introducers, the seeds that each of them was given, one half
 * of all daemons while they are cut in two, and the first view that was chosen. Immutable.
 */
export type BootstrapWorld = {
  candidates: readonly Candidate[];
  introducers: readonly Introducer[];
  seeds: readonly string[];
  losses: number;
  half: readonly string[] | null;
  chosen: View | null;
  ballot: number;
  left: Budget;
};
