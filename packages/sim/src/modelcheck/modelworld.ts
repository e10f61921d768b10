import type { View, Vote } from '@pumicebarrow/registry';

/** One core member of the model. `log` is the history of writes that it holds, a letter each. */
type ModelNode = {
  id: string;
  born: string;
  up: boolean;
  /** On disk. */
  view: View | null;
  vote: Vote | null;
  log: string;
  /** In memory: holders of leases that it granted, as `id/born`; `?` stands for any granted before a crash. */
  granted: readonly string[];
  /** Voters that lend it their lease on its view. */
  leases: readonly string[];
  /** The epoch in which it last took in a state, and the one in which it handed its own to the tail; 0 for none. */
  fresh: number;
  ready: number;
  /** What it knows to have passed in its view. */
  shown: string | null;
  /** A ballot that a majority has promised, and what must be proposed under it. */
  round: { ballot: number; value: View } | null;
};

/** How often each trouble may still strike. */
type Budget = { crash: number; wipe: number; cut: number; write: number; propose: number };

/**
 * One state of the model: members, what was chosen for each epoch, the newest history that a caller was told of, and a
 * member that is cut off. Immutable.
 */
export type ModelWorld = {
  nodes: readonly ModelNode[];
  chosen: Readonly<Record<number, View>>;
  told: string;
  cut: string | null;
  ballot: number;
  left: Budget;
};
