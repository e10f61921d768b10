import type { View } from '@pumicebarrow/registry';
import { ModelActions } from './modelactions.js';
import { ModelInvariants } from './modelinvariants.js';
import { ModelKeys } from './modelkeys.js';
import type { ModelWorld } from './modelworld.js';
import { StateSearch } from './statesearch.js';

/** How far a search goes. */
type Reach = { members: 3 | 5; begin: 'level' | 'behind'; depth: number; states: number; left: ModelWorld['left'] };
const IDS = ['k1', 'k2', 'k3', 'k4', 'k5'];
const begin = (r: Reach): ModelWorld => {
  const all = IDS.slice(0, r.members).map((id) => ({ id, born: 'b', addr: id }));
  const behind = r.begin === 'behind' ? Math.floor(r.members / 2) : 0;
  const epoch = behind > 0 ? 2 : 1;
  const view: View = { epoch, voters: all, chain: all.slice(0, r.members - behind) };
  const told = behind > 0 ? 'a' : '';
  const nodes = all.map((m, i) => {
    const inside = i < view.chain.length;
    return {
      ...{ id: m.id, born: m.born, up: true, view, vote: null, log: inside ? told : '', granted: [], leases: [] },
      ...{ fresh: inside ? epoch : 0, ready: i === 0 ? epoch : 0, shown: inside ? told : null, round: null },
    };
  });
  return { nodes, chosen: { [epoch]: view }, told, cut: null, ballot: 0, left: r.left };
};

/** The model of views, votes, leases and the chain, explored within a reach. */
export const ModelCheck = {
  run(r: Reach): ReturnType<typeof StateSearch.run> {
    const losses = (r.members - 1) / 2;
    const model = {
      first: begin(r),
      steps: ModelActions.of,
      key: ModelKeys.of,
      broken: (w: ModelWorld) => ModelInvariants.broken(w, losses, r.left.wipe - w.left.wipe),
    };
    return StateSearch.run(model, r);
  },
};
