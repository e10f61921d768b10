import type { Vote } from '@pumicebarrow/registry';
import { BootstrapActions } from './bootstrapactions.js';
import type { BootstrapWorld } from './bootstrapworld.js';
import { StateSearch } from './statesearch.js';

/**
 * How far a search goes. It begins with candidates that met nobody, that all met each other, or that stand in halves
 * of which each met itself and the introducers are with the first: cut `apart`, or no longer cut once the first half
 * has `founded` a view.
 */
type Reach = { candidates: number; introducers: number; seeds: readonly string[]; losses: number } & {
  begin: 'empty' | 'met' | 'apart' | 'founded';
  depth: number;
  states: number;
  left: BootstrapWorld['left'];
};
const range = (prefix: string, many: number): string[] => Array.from({ length: many }, (_, i) => `${prefix}${i + 1}`);
const begin = (r: Reach): BootstrapWorld => {
  const ids = range('c', r.candidates);
  const [first, second] = [ids.slice(0, ids.length / 2), ids.slice(ids.length / 2)];
  const around = (id: string): string[] => {
    if (r.begin === 'empty') return [];
    const all = r.begin === 'met' ? ids : first.includes(id) ? first : second;
    return all.filter((x) => x !== id);
  };
  const introduced = { empty: [], met: ids, apart: first, founded: first }[r.begin];
  const voters = first.map((id) => ({ id, born: 'b', addr: id }));
  const view = { epoch: 1, voters, chain: voters };
  const founded = r.begin === 'founded';
  const vote = (id: string): Vote | null =>
    founded && first.includes(id) ? { epoch: 1, promised: 1, took: { ballot: 1, view } } : null;
  return {
    candidates: ids.map((id) => ({
      ...{ id, vote: vote(id), view: founded && id === first[0] ? view : null },
      ...{ met: around(id), told: around(id), round: null },
    })),
    introducers: range('i', r.introducers).map((id) => ({ id, met: introduced })),
    ...{ seeds: r.seeds, losses: r.losses, half: r.begin === 'apart' ? second : null },
    ...{ chosen: founded ? view : null, ballot: founded ? 1 : 0, left: r.left },
  };
};
const texts = new WeakMap<object, string>();
const text = (part: object): string => {
  const known = texts.get(part);
  if (known !== undefined) return known;
  const made = JSON.stringify(part);
  texts.set(part, made);
  return made;
};
const key = (w: BootstrapWorld): string =>
  [...w.candidates, ...w.introducers, w.left, w.chosen ?? []].map(text).join() + JSON.stringify([w.half, w.ballot]);

/** The model of how the first view comes about, explored within a reach: at most one is ever chosen. */
export const BootstrapCheck = {
  run: (r: Reach): ReturnType<typeof StateSearch.run> =>
    StateSearch.run({ first: begin(r), steps: BootstrapActions.of, key, broken: () => null }, r),
};
