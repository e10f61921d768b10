import type { View } from '@pumicebarrow/registry';
import { ModelActions } from './modelactions.js';
import { ModelInvariants } from './modelinvariants.js';
import { ModelKeys } from './modelkeys.js';
import type { ModelWorld } from './modelworld.js';

/** How far a search goes. */
type Reach = { members: 3 | 5; begin: 'level' | 'behind'; depth: number; states: number; left: ModelWorld['left'] };
type Found = { states: number; depth: number; whole: boolean; broken: string | null; path: readonly string[] };
type Reached = { world: ModelWorld; from: Reached | null; name: string };

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
const path = (v: Reached | null): string[] => (v && v.from ? [...path(v.from), v.name] : []);

/**
 * Explores every state of the model of views, votes, leases and the chain that can be reached within a depth, nearest
 * first. Invariant: the path given to a broken invariant is a shortest one; `whole` tells that no state was left out.
 */
export const ModelCheck = {
  run(r: Reach): Found {
    const losses = (r.members - 1) / 2;
    const first: Reached = { world: begin(r), from: null, name: '' };
    const seen = new Set([ModelKeys.of(first.world)]);
    let level = [first];
    for (let depth = 1; depth <= r.depth && level.length > 0; depth++) {
      const next: Reached[] = [];
      for (const at of level)
        for (const step of ModelActions.of(at.world)) {
          const reached = { world: step.next, from: at, name: step.name };
          const wiped = r.left.wipe - step.next.left.wipe;
          const broken = step.broken ?? ModelInvariants.broken(step.next, losses, wiped);
          if (broken) return { states: seen.size, depth, whole: false, broken, path: path(reached) };
          const key = ModelKeys.of(step.next);
          if (seen.has(key)) continue;
          if (seen.size >= r.states) return { states: seen.size, depth, whole: false, broken: null, path: [] };
          seen.add(key);
          next.push(reached);
        }
      level = next;
    }
    return { states: seen.size, depth: r.depth, whole: true, broken: null, path: [] };
  },
};
