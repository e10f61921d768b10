import { Views, type View } from '@pumicebarrow/registry';
import { ModelKeys } from './modelkeys.js';
import type { ModelWorld } from './modelworld.js';

type Node = ModelWorld['nodes'][number];

/** What must hold in each state of the model. */
export const ModelInvariants = {
  live: (n: Node): boolean =>
    n.up && n.view !== null && Views.positionOf(n.view, n) >= 0 && n.leases.length > n.view.voters.length / 2,
  /** The first that does not hold; null while all do. */
  broken(w: ModelWorld, losses: number, wiped: number): string | null {
    const epochs = new Set(w.nodes.filter(ModelInvariants.live).map((n) => n.view!.epoch));
    if (epochs.size > 1) return `members of views ${[...epochs].join(' and ')} hold leases of a majority at once`;
    const top: View = ModelKeys.newest(w);
    const holders = [...Views.completeMembers(top), ...(top.reserve ?? [])];
    const kept = w.nodes.some((n) => holders.some((m) => Views.sameMember(m, n)) && n.log.startsWith(w.told));
    if (!kept && wiped <= losses) return `what a caller was told of (${w.told}) is on no disk that may lead again`;
    return null;
  },
};
